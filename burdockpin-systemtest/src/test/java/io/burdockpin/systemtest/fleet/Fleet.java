package io.burdockpin.systemtest.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.burdockpin.systemtest.fleet.ControlMember.ControlPlan;
import io.burdockpin.systemtest.fleet.EntryHost.EntryPlan;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.ProgramProcess;
import io.burdockpin.testbench.runner.RunnerMain;
import io.burdockpin.testbench.worker.WorkerMain;
import io.burdockpin.timeline.check.CheckSettings;
import io.burdockpin.timeline.check.PromiseCheck;
import io.burdockpin.timeline.model.EventFileReader;
import io.burdockpin.timeline.model.EventRecord;

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

	private final List<ControlPlan> memberPlans;

	private final List<EntryPlan> entryPlans;

	private final List<ControlMember> members;

	private final List<EntryHost> entries;

	private final List<EntryHost> copies = new ArrayList<>();

	private final List<StandInRunner> runners = new ArrayList<>();

	private final List<ProgramProcess> workers = new ArrayList<>();

	private final Optional<TestAuthority> authority;

	private Fleet(Path folder, int entryCount, Map<String, Object> memberSettings, Optional<TestAuthority> authority) {
		this.folder = folder;
		this.authority = authority;
		this.memberPlans = IntStream.rangeClosed(1, MEMBERS)
			.mapToObj((number) -> memberPlan("c" + number, number, memberSettings))
			.toList();
		this.entryPlans = IntStream.rangeClosed(1, entryCount)
			.mapToObj((number) -> entryPlan("e" + number, number))
			.toList();
		this.members = this.memberPlans.stream()
			.map((plan) -> new ControlMember(plan, folder, linksToMembers(plan, this.memberPlans), Web.of(authority)))
			.toList();
		this.entries = this.entryPlans.stream()
			.map((plan) -> new EntryHost(plan, folder, linksToPeers(plan, this.entryPlans),
					linksToClientPorts(plan, this.memberPlans), authority))
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
	 * Starts a fleet with TLS on all links and for all callers.
	 * @param name name of its folder below {@code target}
	 * @param entryCount number of entry hosts, each in a data centre of its own
	 * @return the running fleet
	 */
	public static Fleet startWithTls(String name, int entryCount) {
		Path folder = emptyFolder(name);
		return start(new Fleet(folder, entryCount, Map.of(), Optional.of(new TestAuthority(folder, "authority"))));
	}

	/**
	 * Starts a fleet whose control members have further settings.
	 * @param name name of its folder below {@code target}
	 * @param entryCount number of entry hosts, each in a data centre of its own
	 * @param memberSettings the further settings
	 * @return the running fleet
	 */
	public static Fleet start(String name, int entryCount, Map<String, Object> memberSettings) {
		return start(new Fleet(emptyFolder(name), entryCount, memberSettings, Optional.empty()));
	}

	private static Fleet start(Fleet fleet) {
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
	 * Starts a stand-in runner beside an entry host. In a fleet with TLS it takes
	 * requests over TLS.
	 * @param name name of the runner
	 * @param queue the queue it serves
	 * @param entry number of the entry host in whose data centre it stands, from 0
	 * @param serviceMillis how long it works on a request
	 * @return the runner
	 */
	public StandInRunner startRunner(String name, String queue, int entry, long serviceMillis) {
		return startRunner(name, queue, entry, serviceMillis,
				this.authority.map((signer) -> signer.sign(name, "127.0.0.1")));
	}

	/**
	 * Starts a stand-in runner whose certificate the test chooses.
	 * @param name name of the runner
	 * @param queue the queue it serves
	 * @param entry number of the entry host in whose data centre it stands, from 0
	 * @param serviceMillis how long it works on a request
	 * @param tls its certificate; it takes plain requests without it
	 * @return the runner
	 */
	public StandInRunner startRunner(String name, String queue, int entry, long serviceMillis,
			Optional<Map<String, Object>> tls) {
		return startRunner(name, queue, entry, serviceMillis, tls, nearestFirst(entry));
	}

	/**
	 * Starts a stand-in runner that announces itself only to the entry host of its data
	 * centre. The others move to another entry host if an answer is late, and stay there.
	 * @param name name of the runner
	 * @param queue the queue it serves
	 * @param entry number of the entry host in whose data centre it stands, from 0
	 * @param serviceMillis how long it works on a request
	 * @return the runner
	 */
	public StandInRunner startRunnerThatStays(String name, String queue, int entry, long serviceMillis) {
		return startRunner(name, queue, entry, serviceMillis,
				this.authority.map((signer) -> signer.sign(name, "127.0.0.1")), List.of(this.entries.get(entry)));
	}

	private StandInRunner startRunner(String name, String queue, int entry, long serviceMillis,
			Optional<Map<String, Object>> tls, List<EntryHost> announcedTo) {
		int dataCentre = entry + 1;
		this.addresses.place(name, dataCentre);
		EndPoint address = this.addresses.next(name);
		EndPoint control = this.addresses.next(name);
		Path startedFile = this.folder.resolve("started-" + name);
		List<String> arguments = new ArrayList<>(List.of("--name", name, "--queue", queue, "--data-centre",
				"dc" + dataCentre, "--address", address.toString(), "--control-address", control.toString(),
				"--service-ms", Long.toString(serviceMillis), "--started-file", startedFile.toString(), "--entry"));
		announcedTo.forEach((host) -> arguments.add(host.httpAddress().toString()));
		arguments.addAll(tls.map(Fleet::certificateArguments).orElseGet(this::trustArguments));
		ProgramProcess process = new ProgramProcess(name, this.folder, RunnerMain.class, arguments);
		StandInRunner runner = new StandInRunner(queue, process, control, startedFile);
		this.runners.add(runner);
		process.start();
		return runner;
	}

	/**
	 * Starts a process that says it is one of the entry hosts. It reaches the control
	 * members as that entry host does.
	 * @param entry number of the entry host that it copies, from 0
	 * @param files how its files are named
	 * @param signer the authority that signs its certificate
	 * @param trustFile the authorities that it trusts
	 * @return the process
	 */
	public EntryHost startEntryLike(int entry, String files, TestAuthority signer, String trustFile) {
		EntryPlan copied = this.entryPlans.get(entry);
		EntryPlan plan = new EntryPlan(copied.name(), copied.dataCentre(), this.addresses.next(copied.name()),
				this.addresses.next(copied.name()));
		Map<String, Object> tls = new HashMap<>(signer.sign(files, plan.name(), plan.httpAddress().host()));
		tls.put("trustFile", trustFile);
		EntryHost copy = new EntryHost(plan, files, this.folder, List.of(), linksToClientPorts(plan, this.memberPlans),
				Web.of(Optional.of(signer)), Optional.of(tls));
		this.copies.add(copy);
		copy.process().start();
		return copy;
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
		arguments.addAll(trustArguments());
		ProgramProcess process = new ProgramProcess(name, this.folder, WorkerMain.class, arguments);
		this.workers.add(process);
		process.start();
		return new StandInWorker(process, jobFile);
	}

	@Override
	public void close() {
		this.workers.forEach(ProgramProcess::close);
		this.runners.forEach((runner) -> runner.process().close());
		this.copies.forEach((copy) -> copy.process().close());
		this.entries.forEach((entry) -> entry.process().close());
		this.members.forEach((member) -> member.process().close());
		this.links.close();
	}

	// access

	/**
	 * Returns the authority of a fleet with TLS.
	 * @return the authority
	 */
	public TestAuthority authority() {
		return this.authority.orElseThrow();
	}

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
	 * Returns the folder of the fleet.
	 * @return the folder that holds all data folders and logs
	 */
	public Path folder() {
		return this.folder;
	}

	/**
	 * Looks for broken promises in the event files of all processes.
	 * @return one sentence for each
	 */
	public List<String> brokenPromises() {
		return brokenPromises(Stream::of);
	}

	/**
	 * Looks for broken promises in the event files of all processes after a planted
	 * fault.
	 * @param fault changes, adds or removes events
	 * @return one sentence for each
	 */
	public List<String> brokenPromises(Function<EventRecord, Stream<EventRecord>> fault) {
		List<Path> files = Stream
			.concat(this.members.stream().map(ControlMember::eventFile),
					this.entries.stream().map(EntryHost::eventFile))
			.toList();
		List<EventRecord> events = new EventFileReader().read(files).events().stream().flatMap(fault).toList();
		return PromiseCheck.findAll(events, CheckSettings.DEFAULT)
			.stream()
			.map((broken) -> broken.check() + ": " + broken.message())
			.toList();
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

	/** Waits until all control members have the entries that the leader has. */
	public void awaitCaughtUp() {
		Await.until("the same commit index at all members", () -> {
			long index = leader().health().number("commitIndex");
			return this.members.stream().allMatch((member) -> member.health().number("commitIndex") >= index);
		});
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

	private List<String> trustArguments() {
		return this.authority.map((signer) -> List.of("--trust-file", signer.trustFile())).orElse(List.of());
	}

	private static List<String> certificateArguments(Map<String, Object> tls) {
		return List.of("--trust-file", tls.get("trustFile").toString(), "--certificate-file",
				tls.get("certificateFile").toString(), "--key-file", tls.get("keyFile").toString());
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

	private ControlPlan memberPlan(String name, int dataCentre, Map<String, Object> memberSettings) {
		this.addresses.place(name, dataCentre);
		EndPoint memberAddress = this.addresses.next(name);
		Map<String, Object> settings = new HashMap<>(memberSettings);
		this.authority.ifPresent((signer) -> settings.put("tls", signer.sign(name, memberAddress.host())));
		return new ControlPlan(name, this.addresses.dataCentre(name), memberAddress, this.addresses.next(name),
				this.addresses.next(name), settings);
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
