package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.overdue.OverdueKind;
import io.burdockpin.core.batch.lead.overdue.OverdueReport;
import io.burdockpin.core.batch.lead.pool.BalanceSettings;
import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.lead.run.SessionSettings;
import io.burdockpin.core.batch.lead.wave.WaveSettings;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.MovePhase;
import io.burdockpin.core.batch.state.StepTasks;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;

/**
 * Simulates a leader and its runners in virtual time. Orders and replies are delayed,
 * lost or carried out seconds late; runners crash, are partitioned and restart; leaders
 * change. Announcements and the leader's proposals share log entries, as in the
 * scheduler, so a plan may be committed after the change that it did not know of. Every
 * start and acknowledgement is checked against the invariants; {@link #overdue} lists
 * what should have gone on.
 */
public final class SimulatedFleet {

	public static final LeaderSettings SETTINGS = new LeaderSettings(
			new SessionSettings(4_000, 300, 400, 200, 100, 1_500), new WaveSettings(1_000, 500, 1_000, 2_000, 200),
			new BalanceSettings(1_000, 1_700, 2_000, 2_000, 200, 1_000), 10_000, 64);

	private static final String POOL = "pool";

	/** Time after a closing from which no start may be carried out. */
	private static final long CLOSING_MILLIS = 5_000;

	/** Time within which an end has to be acknowledged. */
	private static final long ACKNOWLEDGE_MILLIS = 4_000;

	private final RandomGenerator random;

	private Faults faults;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));

	private final Map<String, SimulatedRunner> runners = new LinkedHashMap<>();

	private final Set<String> cutOff = new HashSet<>();

	private final Set<TaskId> completed = new HashSet<>();

	private final Map<TaskId, Integer> starts = new HashMap<>();

	private final Map<TaskId, Long> lastStartMillis = new HashMap<>();

	/** The checkpoint of the first member that was started, by run of a gang. */
	private final Map<String, String> gangCheckpoints = new HashMap<>();

	/** Commands that join the next log entry, ahead of the leader's proposals. */
	private final List<BatchCommand> queuedCommands = new ArrayList<>();

	private final List<String> violations = new ArrayList<>();

	/** What the leader reports as overdue. */
	private final Map<OverdueKind, OverdueReport> reports = new EnumMap<>(OverdueKind.class);

	/** Selects proposals that are lost. */
	private Predicate<BatchCommand> lostProposals = (command) -> false;

	private final BatchState state = new BatchState();

	private final BatchQueue queue;

	private FleetLeader leader;

	private long version;

	private long term = 1;

	private long nowMillis = 1_000_000;

	private long lastCommitMillis;

	private long eventCount;

	private long sequence;

	private int releaseCount;

	public SimulatedFleet(RandomGenerator random, Faults faults, int runnerCount, int maximumAttempts) {
		this.random = random;
		this.faults = faults;
		this.queue = new BatchQueue("queue", "host", "/queue/", true, POOL, 0, maximumAttempts, 3_000, 500, 2);
		setLimit(new Resources(20_000, 0, 0));
		for (int number = 0; number < runnerCount; number++) {
			String id = "r" + number;
			this.runners.put(id, new SimulatedRunner(id, POOL, random, this.nowMillis));
		}
		this.runners.values().forEach((runner) -> runner.observe(new Checks()));
		this.leader = new FleetLeader(this.state, SETTINGS, new HostOrderHistory(0), this.term, this.nowMillis);
		at(0, this::announceAll);
		at(0, this::decide);
	}

	/** Commits a configuration with another upper limit of the workspace. */
	public void setLimit(Resources limit) {
		this.version++;
		commit(List.of(new BatchCommand.SetConfiguration(
				new FleetConfiguration(this.version, List.of(this.queue), List.of(new BatchPool(POOL, false, false)),
						List.of(new Workspace("team", Set.of("key"), 1, limit)), Payload.EMPTY))));
	}

	/** Distributes the runners evenly between data centres named dc0, dc1 and so on. */
	public void placeInDataCentres(int count) {
		int number = 0;
		for (SimulatedRunner runner : this.runners.values()) {
			runner.placeIn("dc" + number % count);
			number++;
		}
	}

	public void closeDataCentre(String name) {
		commit(List.of(new BatchCommand.CloseDataCentre(name, "operator")));
	}

	public void openDataCentre(String name) {
		commit(List.of(new BatchCommand.OpenDataCentre(name, "operator")));
	}

	/** Returns the tasks that run in a data centre, with the numbers of their runs. */
	public Map<TaskId, Integer> runningIn(String dataCentre) {
		Map<TaskId, Integer> found = new HashMap<>();
		this.runners.values()
			.stream()
			.filter((runner) -> runner.isUp() && runner.announce().dataCentre().equals(dataCentre))
			.forEach((runner) -> runner.running().forEach((task, execution) -> found.put(task, execution.run())));
		return found;
	}

	public void submit(String id, int steps, int width, boolean gang) {
		List<StepSpec> specs = new ArrayList<>();
		for (int step = 0; step < steps; step++) {
			specs.add(new StepSpec(width, new Resources(1_500, 1_000, 0), 600,
					(step == 0) ? List.of() : List.of(step - 1), false, gang, false, Optional.empty(), Optional.empty(),
					OptionalInt.empty(), false, false, Optional.empty(), OptionalInt.empty(), false, 0));
		}
		submit(id, new JobSpec(id, specs, 0, 0, 0));
	}

	public void submit(String id, JobSpec spec) {
		commit(List.of(BatchFixtures.submit(id, "queue", "team", spec)));
	}

	/** Submits a job whose tasks run until it is cancelled. */
	public void submitLongRunning(String id, int width) {
		StepSpec step = new StepSpec(width, new Resources(1_500, 1_000, 0), 600, List.of(), true, false, false,
				Optional.empty(), Optional.empty(), OptionalInt.empty(), false, true, Optional.of("image"),
				OptionalInt.empty(), false, 1);
		commit(List.of(BatchFixtures.submit(id, "queue", "team",
				new JobSpec(SimulatedRunner.ENDLESS, List.of(step), 0, 0, 0))));
	}

	public void cancel(String id) {
		commit(List.of(new BatchCommand.CancelJob(id)));
	}

	public void run(long millis) {
		long untilMillis = this.nowMillis + millis;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= untilMillis) {
			Event event = this.events.remove();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
		this.nowMillis = untilMillis;
	}

	public void crash(String runner, long forMillis) {
		this.runners.get(runner).crash();
		at(forMillis, () -> {
			this.runners.get(runner).restart(this.nowMillis);
			at(1 + this.random.nextInt(20), () -> announce(runner));
		});
	}

	/** Commits a job of an earlier version, which has only the name of its queue. */
	public void submitToUnknownQueue(String id) {
		commit(List.of(new BatchCommand.SubmitJob(id, "unknown", "team", BatchFixtures.job(BatchFixtures.step(1)),
				Optional.empty())));
	}

	/** Loses a runner for good. */
	public void lose(String runner) {
		this.runners.get(runner).crash();
	}

	/** Delivers the departure of an earlier incarnation of a runner. */
	public void deliverLateDeparture(String runner) {
		this.leader.onDeparture(runner, this.nowMillis).ifPresent(this.queuedCommands::add);
	}

	/** Returns the announcement of a runner. */
	public RunnerRecord announcementOf(String runner) {
		return this.runners.get(runner).announce();
	}

	public long nowMillis() {
		return this.nowMillis;
	}

	/** Delivers an announcement that no runner of this fleet has sent. */
	public void announceForeign(RunnerRecord entry) {
		this.leader.onAnnouncement(entry, 1, this.nowMillis).ifPresent(this.queuedCommands::add);
	}

	/** Loses the leader's proposals of some types, so that it waits for their commit. */
	public void loseProposals(Set<Class<? extends BatchCommand>> types) {
		this.lostProposals = (command) -> types.contains(command.getClass());
	}

	/** Commits a move that the platform never carries out. */
	public void orderMove(String host, String pool) {
		commit(List.of(new BatchCommand.SetMove(host, pool, MovePhase.ORDERED)));
	}

	public void cutOff(String runner, long forMillis) {
		this.cutOff.add(runner);
		at(forMillis, () -> this.cutOff.remove(runner));
	}

	public void changeLeader() {
		this.term++;
		this.queuedCommands.clear();
		this.reports.clear();
		this.leader = new FleetLeader(this.state, SETTINGS, new HostOrderHistory(0), this.term, this.nowMillis);
	}

	/** Ends all disturbances and lets the fleet recover. */
	public void recover(long millis) {
		this.faults = Faults.NONE;
		this.cutOff.clear();
		run(millis);
	}

	/** Lets runners keep their tasks after their leases have expired. */
	public void ignoreLeases() {
		this.runners.values().forEach(SimulatedRunner::ignoreLease);
	}

	/** Lets the conditions of orders name the runners and not their incarnations. */
	public void nameOnlyIdentifiers() {
		this.runners.values().forEach(SimulatedRunner::nameOnlyIdentifier);
	}

	public List<String> violations() {
		return this.violations;
	}

	public Optional<BatchJobPhase> phase(String job) {
		return this.state.job(job).map((known) -> known.phase());
	}

	/**
	 * Lists what waits although nothing prevents it from going on. Meaningful once
	 * disturbances are over for longer than leases and timeouts last.
	 */
	public List<String> overdue() {
		List<String> overdue = new ArrayList<>();
		this.state.activeJobs().forEach((job) -> {
			if (!job.spec().isLongRunning()) {
				overdue.add("job %s is %s".formatted(job.id(), job.phase()));
			}
			else if (activeTaskCount(job) < job.spec().steps().get(0).taskCount()) {
				overdue.add("job %s has %d active tasks".formatted(job.id(), activeTaskCount(job)));
			}
		});
		this.state.runs().runners().forEach((key) -> {
			if (this.state.runner(key).isEmpty()) {
				overdue.add("%d runs are assigned to %s, which is not registered"
					.formatted(this.state.runs().on(key).size(), key));
			}
		});
		this.runners.values().stream().filter(SimulatedRunner::isUp).forEach((runner) -> {
			RunnerKey key = runner.announce().key();
			boolean isClosed = this.state.isClosed(runner.announce().dataCentre());
			if (!isClosed && this.leader.session(key).filter((session) -> session.isUsable(this.nowMillis)).isEmpty()) {
				overdue.add("%s gets no tasks".formatted(key));
			}
			long unacknowledged = runner.unacknowledgedCount(this.nowMillis - ACKNOWLEDGE_MILLIS);
			if (unacknowledged > 0) {
				overdue.add("%d ends of %s are not acknowledged".formatted(unacknowledged, key));
			}
		});
		this.state.runners()
			.stream()
			.map(RunnerRecord::key)
			.filter((key) -> !isUp(key))
			.forEach((key) -> overdue.add("%s is gone and still registered".formatted(key)));
		if (this.state.runs().runners().isEmpty() && !this.state.runs().chargedTo("team").equals(Resources.NONE)) {
			overdue.add("%s is charged without runs".formatted(this.state.runs().chargedTo("team")));
		}
		return overdue;
	}

	/** Returns what the leader itself reports as overdue. */
	public Map<OverdueKind, OverdueReport> reportedOverdue() {
		return this.reports;
	}

	private void record(OverdueReport report) {
		if (report.count() == 0) {
			this.reports.remove(report.kind());
		}
		else {
			this.reports.put(report.kind(), report);
		}
	}

	private boolean isUp(RunnerKey key) {
		return Optional.ofNullable(this.runners.get(key.id()))
			.filter((runner) -> runner.isUp() && runner.announce().key().equals(key))
			.isPresent();
	}

	private long activeTaskCount(BatchJob job) {
		return this.runners.values()
			.stream()
			.filter(SimulatedRunner::isUp)
			.flatMap((runner) -> runner.running().keySet().stream())
			.filter((task) -> task.job().equals(job.id()))
			.count();
	}

	public BatchState state() {
		return this.state;
	}

	/** Returns the number of runs that were released without an end. */
	public int releaseCount() {
		return this.releaseCount;
	}

	public long runningCount() {
		return this.runners.values().stream().mapToLong((runner) -> runner.running().size()).sum();
	}

	private void decide() {
		this.runners.values()
			.stream()
			.filter(SimulatedRunner::isUp)
			.forEach((runner) -> runner.advance(this.nowMillis));
		this.leader.decide(this.nowMillis, this.nowMillis);
		this.leader.reportOverdueIfDue(this.nowMillis).forEach(this::record);
		this.leader.dueOrders(this.nowMillis).forEach(this::send);
		List<BatchCommand> proposals = new ArrayList<>(this.queuedCommands);
		this.queuedCommands.clear();
		proposals.addAll(this.leader.drainProposals());
		proposals.removeIf(this.lostProposals);
		if (!proposals.isEmpty()) {
			long proposedTerm = this.term;
			this.lastCommitMillis = Math.max(this.lastCommitMillis, this.nowMillis + 1 + this.random.nextInt(10));
			at(this.lastCommitMillis - this.nowMillis, () -> {
				if (proposedTerm == this.term) {
					commit(proposals);
				}
			});
		}
		at(10, this::decide);
	}

	private void commit(List<BatchCommand> commands) {
		this.state.apply(new CommandGroup(this.nowMillis, commands));
		commands.forEach((command) -> {
			if (this.leader != null) {
				this.leader.onApplied(command, this.nowMillis);
			}
			if (command instanceof BatchCommand.ReleaseRuns released) {
				this.releaseCount += released.releases().size();
			}
			if (command instanceof BatchCommand.NoteEnds ends) {
				ends.ends()
					.stream()
					.filter((end) -> end.outcome().isDone()
							&& !this.runners.get(ends.runner().id()).isVoid(ends.runner(), end))
					.forEach((end) -> this.completed.add(end.task()));
			}
		});
	}

	private void announceAll() {
		this.runners.keySet().forEach(this::announce);
		at(500, this::announceAll);
	}

	private void announce(String id) {
		this.sequence++;
		SimulatedRunner runner = this.runners.get(id);
		if (runner.isUp() && !this.cutOff.contains(id)) {
			this.leader.onAnnouncement(runner.announce(), this.sequence, this.nowMillis)
				.ifPresent(this.queuedCommands::add);
		}
	}

	private void send(RunnerDispatch dispatch) {
		RunnerKey key = dispatch.runner().key();
		RunnerOrder order = dispatch.order();
		FleetLeader sender = this.leader;
		if (order instanceof RunnerOrder.Start start && this.state.isClosed(dispatch.runner().dataCentre())) {
			addViolation("%s run %d is ordered in a closed data centre", start.task(), start.run());
		}
		if (order instanceof RunnerOrder.Start start) {
			checkLimit(start);
		}
		SimulatedRunner runner = this.runners.get(key.id());
		boolean isLate = this.faults.lateShare() > this.random.nextDouble();
		boolean isLost = runner == null || this.cutOff.contains(key.id()) || !runner.isUp()
				|| this.faults.lostShare() > this.random.nextDouble();
		if (isLate || isLost) {
			at(SETTINGS.sessions().answerTimeoutMillis(),
					() -> sender.onReply(dispatch, RunnerReply.NoAnswer.UNKNOWN, this.nowMillis));
		}
		if (isLate && !isLost) {
			at(2_000 + this.random.nextInt(8_000), () -> handle(runner, key, order));
		}
		else if (!isLost) {
			at(1 + this.random.nextInt(5), () -> {
				Optional<RunnerReply> reply = handle(runner, key, order);
				at(1 + this.random.nextInt(5),
						() -> sender.onReply(dispatch, reply.orElse(RunnerReply.NoAnswer.UNKNOWN), this.nowMillis));
			});
		}
	}

	private Optional<RunnerReply> handle(SimulatedRunner runner, RunnerKey key, RunnerOrder order) {
		return runner.isUp() ? Optional.of(runner.handle(order, key, this.nowMillis)) : Optional.empty();
	}

	private void checkAcknowledgement(TaskId task, long endedMillis) {
		if (this.lastStartMillis.getOrDefault(task, 0L) > endedMillis) {
			addViolation("the end of %s at %d is acknowledged although it started again", task, endedMillis);
		}
	}

	private void checkStart(SimulatedRunner runner, TaskId task, int run) {
		this.lastStartMillis.put(task, this.nowMillis);
		Optional.ofNullable(this.state.closedDataCentres().get(runner.announce().dataCentre()))
			.filter((closing) -> this.nowMillis - closing.sinceMillis() > CLOSING_MILLIS)
			.ifPresent((closing) -> addViolation("%s run %d starts in data centre %s, closed since %d", task, run,
					closing.dataCentre(), closing.sinceMillis()));
		this.runners.values().forEach((other) -> {
			other.advance(this.nowMillis);
			if (other.isUp() && other.running().containsKey(task)) {
				addViolation("%s run %d starts while another run is under way", task, run);
			}
		});
		if (this.completed.contains(task)) {
			addViolation("%s run %d starts although its end was committed", task, run);
		}
		if (this.starts.merge(task, run, Math::max) > run) {
			addViolation("%s run %d starts after a later run", task, run);
		}
		this.state.job(task.job()).flatMap((job) -> job.occurrence(task.occurrence())).ifPresent((occurrence) -> {
			if (!occurrence.isReady(task.step())) {
				addViolation("%s starts before its earlier steps", task);
			}
		});
		Resources used = runner.running()
			.keySet()
			.stream()
			.map((known) -> this.state.step(known).map(StepTasks::spec).map(StepSpec::reserved).orElse(Resources.NONE))
			.reduce(Resources.NONE, Resources::plus);
		if (!used.plus(new Resources(1_500, 1_000, 0)).fitsIn(SimulatedRunner.CAPACITY)) {
			addViolation("%s exceeds the capacity of its runner", task);
		}
	}

	// The tasks that run, and the one that is to start, whatever the leader counts.
	private void checkLimit(RunnerOrder.Start start) {
		Set<TaskId> tasks = new HashSet<>();
		tasks.add(start.task());
		this.runners.values()
			.stream()
			.filter(SimulatedRunner::isUp)
			.forEach((runner) -> tasks.addAll(runner.running().keySet()));
		Resources running = tasks.stream()
			.flatMap((task) -> this.state.step(task).stream())
			.map((step) -> step.spec().resources())
			.reduce(Resources.NONE, Resources::plus);
		if (this.state.configuration().orElseThrow().workspace("team").orElseThrow().isExceededBy(running)) {
			addViolation("%s run %d is ordered with %s running, above the limit", start.task(), start.run(), running);
		}
	}

	private void checkCheckpoint(RunnerOrder.Start start) {
		TaskId task = start.task();
		boolean isGang = this.state.step(task).filter((step) -> step.spec().gang()).isPresent();
		String gangRun = "%s %d %d run %d".formatted(task.job(), task.occurrence(), task.step(), start.run());
		String first = this.gangCheckpoints.computeIfAbsent(gangRun, (key) -> start.checkpoint());
		if (isGang && !first.equals(start.checkpoint())) {
			addViolation("%s run %d resumes from '%s' and another member from '%s'", task, start.run(),
					start.checkpoint(), first);
		}
	}

	private void addViolation(String format, Object... arguments) {
		this.violations.add(this.nowMillis + ": " + format.formatted(arguments));
	}

	private void at(long delayMillis, Runnable action) {
		this.eventCount++;
		this.events.add(new Event(this.nowMillis + delayMillis, this.eventCount, action));
	}

	private record Event(long atMillis, long number, Runnable action) {

	}

	/** Checks what the runners see. */
	private final class Checks implements SimulatedRunner.Observer {

		@Override
		public void onStart(SimulatedRunner runner, RunnerOrder.Start start) {
			checkStart(runner, start.task(), start.run());
			checkCheckpoint(start);
		}

		@Override
		public void onAcknowledged(TaskId task, long endedMillis) {
			checkAcknowledgement(task, endedMillis);
		}

	}

	/** Probabilities of lost and late orders. */
	public record Faults(double lostShare, double lateShare) {

		public static final Faults NONE = new Faults(0, 0);

	}

}
