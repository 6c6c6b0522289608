package io.burdockpin.systemtest.fleet;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import io.burdockpin.entry.EntryProgram;
import io.burdockpin.testbench.program.EndPoint;

/** An entry host in its own process. Owned by one test. */
public final class EntryHost {

	private final String name;

	private final EndPoint httpAddress;

	private final Path eventFile;

	private final ProgramProcess process;

	private final HealthPage health;

	EntryHost(EntryPlan plan, Path folder, List<Map<String, Object>> peers, List<Map<String, Object>> members) {
		this.name = plan.name();
		this.httpAddress = plan.httpAddress();
		Path data = folder.resolve("data-" + this.name);
		this.eventFile = data.resolve("events.jsonl");
		Path settings = SettingsFile.write(folder, this.name,
				Map.of("name", this.name, "dataCentre", plan.dataCentre(), "httpAddress", address(plan.httpAddress()),
						"peerAddress", address(plan.peerAddress()), "peers", peers, "members", members, "eventFile",
						this.eventFile.toString(), "dataFolder", data.toString()));
		this.process = new ProgramProcess(this.name, folder, EntryProgram.class,
				List.of("--settings", settings.toString()));
		this.health = new HealthPage(this.httpAddress);
	}

	// access

	/**
	 * Returns the name of the host.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the event file.
	 * @return its path
	 */
	public Path eventFile() {
		return this.eventFile;
	}

	/**
	 * Returns the process.
	 * @return the process
	 */
	public ProgramProcess process() {
		return this.process;
	}

	/**
	 * Returns what the entry host says about itself.
	 * @return the health page
	 */
	public HealthPage health() {
		return this.health;
	}

	/**
	 * Returns where it takes callers, operators, runners and workers.
	 * @return the address
	 */
	public EndPoint httpAddress() {
		return this.httpAddress;
	}

	static Map<String, Object> address(EndPoint address) {
		return Map.of("ip", address.host(), "port", address.port());
	}

	/**
	 * Addresses of an entry host.
	 *
	 * @param name name of the host
	 * @param dataCentre its data centre
	 * @param httpAddress where it takes callers
	 * @param peerAddress where it takes other entry hosts
	 */
	record EntryPlan(String name, String dataCentre, EndPoint httpAddress, EndPoint peerAddress) {

	}

}
