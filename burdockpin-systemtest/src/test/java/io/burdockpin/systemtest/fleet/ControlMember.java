package io.burdockpin.systemtest.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.burdockpin.control.ControlProgram;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.ProgramProcess;

/** A control member in its own process. Owned by one test. */
public final class ControlMember {

	private final String name;

	private final EndPoint memberAddress;

	private final EndPoint adminAddress;

	private final Path dataFolder;

	private final ProgramProcess process;

	private final HealthPage health;

	ControlMember(ControlPlan plan, Path folder, List<Map<String, Object>> members, Web web) {
		this.name = plan.name();
		this.memberAddress = plan.memberAddress();
		this.adminAddress = plan.adminAddress();
		this.dataFolder = folder.resolve("data-" + this.name);
		Map<String, Object> values = new HashMap<>(plan.settings());
		values.putAll(Map.of("cluster", "systemtest", "host", this.name, "dataCentre", plan.dataCentre(), "dataFolder",
				this.dataFolder.toString(), "memberAddress", plan.memberAddress().toString(), "clientAddress",
				plan.clientAddress().toString(), "adminAddress", plan.adminAddress().toString(), "members", members));
		Path settings = SettingsFile.write(folder, this.name, values);
		this.process = new ProgramProcess(this.name, folder, ControlProgram.class,
				List.of("--settings", settings.toString()));
		this.health = new HealthPage(this.adminAddress, web);
	}

	// life cycle

	void format() {
		this.process.runOnce("--format");
	}

	/**
	 * Copies the data folder of the member, which must not run.
	 * @param target the folder to create
	 * @return the copy
	 */
	public Path backUp(Path target) {
		try (Stream<Path> files = Files.walk(this.dataFolder)) {
			for (Path file : files.toList()) {
				Files.copy(file, target.resolve(this.dataFolder.relativize(file).toString()));
			}
			return target;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Fills the empty data folder of the member from a backup, with the command of the
	 * operations page.
	 * @param backup the backup
	 * @param incarnation the incarnation of all members
	 */
	public void restore(Path backup, long incarnation) {
		String command = OperationsPage.example("burdock-control", "--settings FILE --restore");
		this.process.runOnce(command.replace("--settings FILE ", "")
			.replace("--incarnation N", "--incarnation " + incarnation)
			.replace("BACKUP", backup.toString())
			.split(" "));
	}

	/** Removes all files of the member, which must not run. */
	public void wipe() {
		try (Stream<Path> files = Files.walk(this.dataFolder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// access

	/**
	 * Returns the name of its host.
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
		return this.dataFolder.resolve("events").resolve("events.jsonl");
	}

	/**
	 * Returns the process.
	 * @return the process
	 */
	public ProgramProcess process() {
		return this.process;
	}

	/**
	 * Returns what the member says about itself.
	 * @return the health page
	 */
	public HealthPage health() {
		return this.health;
	}

	/**
	 * Returns where its files are.
	 * @return the data folder, which must not be changed while the member runs
	 */
	public Path dataFolder() {
		return this.dataFolder;
	}

	/**
	 * Returns where it listens for other members.
	 * @return the address, past the proxies
	 */
	public String memberAddress() {
		return this.memberAddress.toString();
	}

	/**
	 * Returns where it serves its health.
	 * @return the address
	 */
	public EndPoint adminAddress() {
		return this.adminAddress;
	}

	/**
	 * Addresses and settings of a member.
	 *
	 * @param name name of the host
	 * @param dataCentre its data centre
	 * @param memberAddress where it listens for members
	 * @param clientAddress where it listens for entry hosts
	 * @param adminAddress where it serves its health
	 * @param settings further settings
	 */
	record ControlPlan(String name, String dataCentre, EndPoint memberAddress, EndPoint clientAddress,
			EndPoint adminAddress, Map<String, Object> settings) {

	}

}
