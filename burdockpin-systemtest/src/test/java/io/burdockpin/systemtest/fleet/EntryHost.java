package io.burdockpin.systemtest.fleet;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.entry.EntryProgram;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.ProgramProcess;

/** An entry host in its own process. Owned by one test. */
public final class EntryHost {

	private final String name;

	private final EndPoint httpAddress;

	private final Path eventFile;

	private final ProgramProcess process;

	private final Web web;

	private final HealthPage health;

	EntryHost(EntryPlan plan, Path folder, List<Map<String, Object>> peers, List<Map<String, Object>> members,
			Optional<TestAuthority> authority) {
		this(plan, plan.name(), folder, peers, members, Web.of(authority),
				authority.map((signer) -> signer.sign(plan.name(), plan.httpAddress().host())));
	}

	EntryHost(EntryPlan plan, String files, Path folder, List<Map<String, Object>> peers,
			List<Map<String, Object>> members, Web web, Optional<Map<String, Object>> tls) {
		this.name = plan.name();
		this.httpAddress = plan.httpAddress();
		Path data = folder.resolve("data-" + files);
		this.eventFile = data.resolve("events.jsonl");
		Map<String, Object> values = new HashMap<>(Map.of("name", this.name, "dataCentre", plan.dataCentre(),
				"httpAddress", address(plan.httpAddress()), "peerAddress", address(plan.peerAddress()), "peers", peers,
				"members", members, "eventFile", this.eventFile.toString(), "dataFolder", data.toString()));
		tls.ifPresent((present) -> values.putAll(Map.of("tls", present, "requireRunnerTls", true)));
		Path settings = SettingsFile.write(folder, files, values);
		this.process = new ProgramProcess(files, folder, EntryProgram.class,
				List.of("--settings", settings.toString()));
		this.web = web;
		this.health = new HealthPage(this.httpAddress, this.web);
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

	/**
	 * Returns the start of the addresses of its pages.
	 * @return scheme, IP number and port
	 */
	public String url() {
		return this.web.scheme() + "://" + this.httpAddress;
	}

	/**
	 * Returns how it is called.
	 * @return plain or with the trusted authority of the fleet
	 */
	public Web web() {
		return this.web;
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
