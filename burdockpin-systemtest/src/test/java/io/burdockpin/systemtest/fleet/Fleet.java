package io.burdockpin.systemtest.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import io.burdockpin.systemtest.fleet.ControlMember.ControlPlan;
import io.burdockpin.systemtest.fleet.EntryHost.EntryPlan;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.runner.RunnerMain;
import io.burdockpin.testbench.worker.WorkerMain;

/**
 * Three control members and some entry hosts, one of each per data centre, and the
 * stand-in runners. All links between them pass through fault proxies. Owned by one test
 * class.
 */
public final class Fleet implements AutoCloseable {

	private static final int MEMBERS = 3;

	private final Path folder;

	private final AddressPlan addresses = new AddressPlan();

	private final FaultLinks links = new FaultLinks(this.addresses);

	private final List<ControlMember> members;

	private final List<EntryHost> entries;

	private final List<StandInRunner> runners = new ArrayList<>();

	private final List<ProgramProcess> workers = new ArrayList<>();

	private Fleet(Path folder, int entryCount, Map<String, Object> memberSettings) {
		this.folder = folder;
		List<ControlPlan> memberPlans = IntStream.rangeClosed(1, MEMBERS)
			.mapToObj((number) -> memberPlan("c" + number, number, memberSettings))
			.toList();
		List<EntryPlan> entryPlans = IntStream.rangeClosed(1, entryCount)
			.mapToObj((number) -> entryPlan("e" + number, number))
			.toList();
		this.members = memberPlans.stream()
			.map((plan) -> new ControlMember(plan, folder, linksToMembers(plan, memberPlans)))
			.toList();
		this.entries = entryPlans.stream()
			.map((plan) -> new EntryHost(plan, folder, linksToPeers(plan, entryPlans),
					linksToClientPorts(plan, memberPlans)))
			.toList();
	}

	// life cycle

	/**
	 * Starts a fleet and waits until it has a leader and all entry hosts answer.
	 * @param name name of its folder below {@code target}
	 * @param entryCount number of entry hosts, each in a data centre of its own
	 * @param snapshotEntries log entries after which members take a snapshot
	 * @return the running fleet
	 */
	public static Fleet start(String name, int entryCount, int snapshotEntries) {
		return start(name, entryCount, Map.of("snapshotEntries", snapshotEntries));
	}

	/**
	 * Starts a fleet and waits until it has a leader and all entry hosts answer.
	 * @param name name of its folder below {@code target}
	 * @param entryCount number of entry hosts, each in a data centre of its own
	 * @param memberSettings settings of all control members besides names and addresses
	 * @return the running fleet
	 */
	public static Fleet start(String name, int entryCount, Map<String, Object> memberSettings) {
		Fleet fleet = new Fleet(emptyFolder(name), entryCount, memberSettings);
		try {
			fleet.startAll();
			return fleet;
		}
		catch (RuntimeException | Error ex) {
			fleet.close();
			throw ex;
		}
	}

	/**
	 * Starts a stand-in runner beside an entry host.
	 * @param name name of the runner
	 * @param queue the queue it serves
	 * @param entry number of the entry host in whose data centre it stands, from 0
	 * @param serviceMillis how long it works on a request
	 * @return the runner
	 */
	public StandInRunner startRunner(String name, String queue, int entry, long serviceMillis) {
		int dataCentre = entry + 1;
		this.addresses.place(name, dataCentre);
		EndPoint address = this.addresses.next(name);
		EndPoint control = this.addresses.next(name);
		Path startedFile = this.folder.resolve("started-" + name);
		List<String> arguments = new ArrayList<>(List.of("--name", name, "--queue", queue, "--data-centre",
				"dc" + dataCentre, "--address", address.toString(), "--control-address", control.toString(),
				"--service-ms", Long.toString(serviceMillis), "--started-file", startedFile.toString(), "--entry"));
		nearestFirst(entry).forEach((host) -> arguments.add(host.httpAddress().toString()));
		ProgramProcess process = new ProgramProcess(name, this.folder, RunnerMain.class, arguments);
		StandInRunner runner = new StandInRunner(queue, process, control, startedFile);
		this.runners.add(runner);
		process.start();
		return runner;
	}

	/**
	 * Starts a stand-in worker beside an entry host.
	 * @param name name of the worker
	 * @param entry number of the entry host in whose data centre it stands, from 0
	 * @return the worker
	 */
	public StandInWorker startWorker(String name, int entry) {
		this.addresses.place(name, entry + 1);
		Path jobFile = this.folder.resolve("jobs-" + name);
		List<String> arguments = new ArrayList<>(List.of("--name", name, "--control-address",
				this.addresses.next(name).toString(), "--job-file", jobFile.toString(), "--entry"));
		nearestFirst(entry).forEach((host) -> arguments.add(host.httpAddress().toString()));
		ProgramProcess process = new ProgramProcess(name, this.folder, WorkerMain.class, arguments);
		this.workers.add(process);
		process.start();
		return new StandInWorker(process, jobFile);
	}

	@Override
	public void close() {
		this.workers.forEach(ProgramProcess::close);
		this.runners.forEach((runner) -> runner.process().close());
		this.entries.forEach((entry) -> entry.process().close());
		this.members.forEach((member) -> member.process().close());
		this.links.close();
	}

	// access

	/**
	 * Returns the fault proxies.
	 * @return the links
	 */
	public FaultLinks links() {
		return this.links;
	}

	/**
	 * Returns the control members.
	 * @return the members
	 */
	public List<ControlMember> members() {
		return this.members;
	}

	/**
	 * Returns the entry hosts.
	 * @return the entry hosts
	 */
	public List<EntryHost> entries() {
		return this.entries;
	}

	/**
	 * Returns the stand-in runners.
	 * @return the runners in the order of their start
	 */
	public List<StandInRunner> runners() {
		return List.copyOf(this.runners);
	}

	/**
	 * Waits for a leader that reaches a majority.
	 * @return the leader
	 */
	public ControlMember leader() {
		return Await.value("a leader with a majority", this::findLeader);
	}

	/**
	 * Tells whether a member leads and reaches a majority now.
	 * @return {@code false} if none does
	 */
	public boolean hasLeader() {
		return findLeader().isPresent();
	}

	/**
	 * Returns the members that do not lead.
	 * @return the others
	 */
	public List<ControlMember> followers() {
		ControlMember leader = leader();
		return this.members.stream().filter((member) -> member != leader).toList();
	}

	/**
	 * Returns the names of the programs in some data centres.
	 * @param dataCentres numbers of the data centres, from 1
	 * @return names of members and entry hosts
	 */
	public List<String> hostsOf(int... dataCentres) {
		return Arrays.stream(dataCentres)
			.boxed()
			.flatMap((number) -> List.of("c" + number, "e" + number).stream())
			.toList();
	}

	/** Waits until every entry host has the configuration that the leader has. */
	public void awaitSameConfiguration() {
		Await.until("the same configuration index everywhere", () -> {
			long index = leader().health().number("configurationIndex");
			return this.entries.stream().allMatch((entry) -> entry.health().number("configurationIndex") == index);
		});
	}

	// helpers

	private void startAll() {
		this.members.parallelStream().forEach(ControlMember::format);
		this.members.forEach((member) -> member.process().start());
		this.entries.forEach((entry) -> entry.process().start());
		leader();
		this.entries.forEach((entry) -> Await.until("an answer of entry host " + entry.name(),
				() -> entry.health().says("entryHost", entry.name())));
	}

	private List<EntryHost> nearestFirst(int entry) {
		List<EntryHost> nearestFirst = new ArrayList<>(this.entries);
		nearestFirst.add(0, nearestFirst.remove(entry));
		return nearestFirst;
	}

	private Optional<ControlMember> findLeader() {
		return this.members.stream()
			.filter((member) -> member.process().isAlive())
			.filter((member) -> member.health().says("role", "LEADER")
					&& member.health().says("majorityReachable", "true"))
			.findFirst();
	}

	private ControlPlan memberPlan(String name, int dataCentre, Map<String, Object> settings) {
		this.addresses.place(name, dataCentre);
		return new ControlPlan(name, this.addresses.dataCentre(name), this.addresses.next(name),
				this.addresses.next(name), this.addresses.next(name), settings);
	}

	private EntryPlan entryPlan(String name, int dataCentre) {
		this.addresses.place(name, dataCentre);
		return new EntryPlan(name, this.addresses.dataCentre(name), this.addresses.next(name),
				this.addresses.next(name));
	}

	private List<Map<String, Object>> linksToMembers(ControlPlan from, List<ControlPlan> all) {
		return all.stream()
			.map((to) -> to.equals(from) ? member(to)
					: member(to, this.links.connect(from.name(), to.name(), to.memberAddress())))
			.toList();
	}

	private static Map<String, Object> member(ControlPlan plan) {
		return Map.of("host", plan.name(), "address", plan.memberAddress().toString());
	}

	private static Map<String, Object> member(ControlPlan plan, EndPoint proxy) {
		return Map.of("host", plan.name(), "address", plan.memberAddress().toString(), "connectAddress",
				proxy.toString());
	}

	private List<Map<String, Object>> linksToPeers(EntryPlan from, List<EntryPlan> all) {
		return all.stream()
			.filter((to) -> !to.equals(from))
			.map((to) -> Map.<String, Object>of("name", to.name(), "dataCentre", to.dataCentre(), "httpAddress",
					EntryHost.address(to.httpAddress()), "peerAddress",
					EntryHost.address(this.links.connect(from.name(), to.name(), to.peerAddress()))))
			.toList();
	}

	private List<Map<String, Object>> linksToClientPorts(EntryPlan from, List<ControlPlan> members) {
		return members.stream()
			.sorted(Comparator.comparing((ControlPlan to) -> !to.dataCentre().equals(from.dataCentre())))
			.map((to) -> Map.<String, Object>of("name", to.name(), "clientAddress",
					EntryHost.address(this.links.connect(from.name(), to.name(), to.clientAddress()))))
			.toList();
	}

	private static Path emptyFolder(String name) {
		try {
			Path parent = Files.createDirectories(Path.of("target", "systemtest").toAbsolutePath());
			return Files.createTempDirectory(parent, name + "-");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
