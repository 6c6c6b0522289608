package io.burdockpin.batch.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import io.burdockpin.batch.consensus.ConsensusCommand;
import io.burdockpin.batch.consensus.ConsensusReport;
import io.burdockpin.batch.consensus.ReadOutcome;
import io.burdockpin.batch.port.HostChannel;
import io.burdockpin.batch.port.RunnerChannel;
import io.burdockpin.codec.cbor.CborCommandGroupCodec;
import io.burdockpin.core.batch.call.DataCentreRules;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.lead.LeaderSettings;
import io.burdockpin.core.batch.lead.pool.BalanceSettings;
import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.lead.run.SessionSettings;
import io.burdockpin.core.batch.lead.wave.WaveSettings;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.QueueAddress;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import io.burdockpin.runtime.event.EventLog;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a second start of many tasks by one leader in one term. Five runners
 * leave the order of a task unanswered, so that the leader releases the tasks behind it;
 * a later proposal is rejected while these releases are open.
 */
class DecisionRestartTests {

	private static final long TERM = 3;

	private static final MemberId SELF = new MemberId(new HostName("10.0.0.1"), 1);

	private static final int RUNNERS = 5;

	private static final int TASKS_PER_RUNNER = 7;

	private static final int TASKS = RUNNERS * TASKS_PER_RUNNER;

	private static final int STEP_MILLIS = 10;

	/** Interval of the scheduler's ticks. */
	private static final int TICK_MILLIS = 40;

	/** Time that a runner takes to carry out a start. */
	private static final int START_MILLIS = 30;

	private static final Resources TASK = new Resources(1_000, 100, 0);

	private final ActorTestKit testKit = ActorTestKit.create(ManualTime.config());

	private final ManualTime time = ManualTime.get(this.testKit.system());

	private final TestProbe<FleetReply> replies = this.testKit.createTestProbe();

	private final Queue<ConsensusCommand> consensusCommands = new ConcurrentLinkedQueue<>();

	private final Queue<SentOrder> sentOrders = new ConcurrentLinkedQueue<>();

	/** Atomic, because the actor reads the clock in a thread of its own. */
	private final AtomicLong nowMillis = new AtomicLong(1_000_000);

	private final ActorRef<SchedulerCommand> scheduler = this.testKit
		.spawn(SchedulerActor.create(settings(), new DataCentreRules(Set.of("dc1")), this::channel,
				this.testKit.<HostChannel.Command>createTestProbe().getRef(),
				this.testKit.<EventLog.Command>createTestProbe().getRef(), this::now, this::now));

	private final Map<RunnerKey, FakeRunner> runners = new LinkedHashMap<>();

	/** Entries that were accepted but are not committed yet. */
	private final List<LogEntry> openEntries = new ArrayList<>();

	private final CborCommandGroupCodec codec = new CborCommandGroupCodec();

	private final Set<TaskId> done = new HashSet<>();

	/** Tasks of which the scheduler has received a successful end. */
	private final Set<TaskId> listedAsDone = new HashSet<>();

	/** Starts of tasks of which another run was in progress. */
	private final List<String> simultaneousStarts = new ArrayList<>();

	/** Starts of tasks of which a run had ended and was not in progress any more. */
	private final Map<TaskId, String> startsAfterEnd = new LinkedHashMap<>();

	/** Tasks of which a successful end was acknowledged. */
	private final Set<TaskId> acknowledged = new HashSet<>();

	private int stoppedCount;

	private boolean commitsAreOpen;

	private boolean startsAreLost;

	private boolean registrationsAreRejected;

	private int openReleases;

	private int rejectedProposals;

	private long lastIndex;

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	/**
	 * Guards against two runs of a task at once, and against the start of a task that is
	 * done. Occurs when the restarted decisions order a run whose release is still open,
	 * so that the task is started elsewhere once the release is committed.
	 */
	@Test
	void tasksWhoseReleasesAreOpenWhileDecisionsStartAgainAreStartedOnce() {
		releaseManyTasksAndRejectAProposal();
		Truth
			.assertWithMessage("%s simultaneous starts, %s runs stopped, %s starts after an end, acknowledged ends: %s",
					this.simultaneousStarts.size(), this.stoppedCount, this.startsAfterEnd.size(),
					this.startsAfterEnd.keySet().stream().filter(this.acknowledged::contains).toList())
			.that(Stream.concat(this.simultaneousStarts.stream(), this.startsAfterEnd.values().stream()).toList())
			.isEmpty();
	}

	private void releaseManyTasksAndRejectAProposal() {
		lead();
		run(300);
		this.startsAreLost = true;
		commit(IntStream.range(0, TASKS).mapToObj(DecisionRestartTests::submission).toList());
		run(100);
		this.commitsAreOpen = true;
		run(400);
		Truth.assertThat(this.openReleases).isEqualTo(TASKS - RUNNERS);
		this.startsAreLost = false;
		this.registrationsAreRejected = true;
		announce(runner("rejected"));
		run(400);
		Truth.assertThat(this.rejectedProposals).isEqualTo(1);
		this.commitsAreOpen = false;
		this.openEntries.forEach(this::reportCommitted);
		this.openEntries.clear();
		for (int number = 0; number < RUNNERS; number++) {
			register(runner("spare-" + number));
		}
		run(1_200);
		// The ends that are not acknowledged yet are listed to the next decisions, too.
		announce(runner("rejected"));
		run(600);
		Truth.assertThat(this.rejectedProposals).isEqualTo(2);
		Truth.assertThat(this.done).hasSize(TASKS);
	}

	private void lead() {
		this.scheduler.tell(new SchedulerCommand.AttachConsensus(
				this.testKit.spawn(Behaviors.<ConsensusCommand>receiveMessage((command) -> {
					this.consensusCommands.add(command);
					return Behaviors.same();
				}))));
		report(new ConsensusReport.LeadershipChanged(true, TERM, Optional.of(SELF)));
		commit(List.of(new BatchCommand.SetConfiguration(new FleetConfiguration(1,
				List.of(new BatchQueue("queue", "host", "/queue/", false, "pool", 0, 20, 3_000, 600, 1.6)),
				List.of(new BatchPool("pool", false, false)),
				List.of(new Workspace("team", Set.of("key"), 1, new Resources(1_000_000, 1_000_000, 0))),
				Payload.ofText("{}")))));
		for (int number = 0; number < RUNNERS; number++) {
			register(runner("runner-" + number));
		}
	}

	private void register(RunnerRecord runner) {
		this.runners.put(runner.key(), new FakeRunner(runner.key()));
		commit(List.of(new BatchCommand.RegisterRunner(runner, OptionalLong.of(1))));
	}

	private void run(int millis) {
		for (int elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += STEP_MILLIS) {
			this.nowMillis.addAndGet(STEP_MILLIS);
			if (this.nowMillis.get() % TICK_MILLIS == 0) {
				this.time.timePasses(Duration.ofMillis(TICK_MILLIS));
			}
			settle();
			this.runners.values().forEach(FakeRunner::advance);
			settle();
		}
	}

	// Each message that the scheduler handles is followed by one round of decisions, so
	// the second reply comes after the decisions that the first message led to.
	private void settle() {
		for (int count = 0; count < 2; count++) {
			announce(runner("runner-0"));
			this.replies.receiveMessage();
		}
		for (ConsensusCommand command = this.consensusCommands.poll(); command != null; command = this.consensusCommands
			.poll()) {
			onConsensusCommand(command);
		}
		for (SentOrder sent = this.sentOrders.poll(); sent != null; sent = this.sentOrders.poll()) {
			this.runners.get(sent.runner()).receive(sent.send());
		}
	}

	private void onConsensusCommand(ConsensusCommand command) {
		if (command instanceof ConsensusCommand.Read read) {
			report(new ConsensusReport.ReadDone(read.number(), ReadOutcome.READABLE_AND_SENDABLE));
		}
		else if (command instanceof ConsensusCommand.Propose proposal) {
			onProposal(proposal);
		}
	}

	private void onProposal(ConsensusCommand.Propose proposal) {
		List<BatchCommand> commands = this.codec.decode(proposal.payload().bytes()).commands();
		boolean isRegistration = commands.stream().anyMatch(BatchCommand.RegisterRunner.class::isInstance);
		if (this.registrationsAreRejected && isRegistration) {
			this.rejectedProposals++;
			report(new ConsensusReport.NotProposed(proposal.tag()));
			return;
		}
		this.lastIndex++;
		LogEntry entry = new LogEntry(this.lastIndex, TERM, new EntryContent.CommandContent(proposal.payload()));
		report(new ConsensusReport.Proposed(proposal.tag(), this.lastIndex));
		if (this.commitsAreOpen) {
			this.openReleases += commands.stream()
				.filter(BatchCommand.ReleaseRuns.class::isInstance)
				.mapToInt((command) -> ((BatchCommand.ReleaseRuns) command).releases().size())
				.sum();
			this.openEntries.add(entry);
		}
		else {
			reportCommitted(entry);
		}
	}

	private void commit(List<BatchCommand> commands) {
		this.lastIndex++;
		Payload payload = Payload.of(this.codec.encode(new CommandGroup(this.nowMillis.get(), commands)));
		reportCommitted(new LogEntry(this.lastIndex, TERM, new EntryContent.CommandContent(payload)));
	}

	private void reportCommitted(LogEntry entry) {
		report(new ConsensusReport.Committed(List.of(entry), false));
	}

	private void report(ConsensusReport report) {
		this.scheduler.tell(new SchedulerCommand.FromConsensus(report));
	}

	private void announce(RunnerRecord runner) {
		boolean isAwaited = !runner.key().id().equals("rejected");
		this.scheduler.tell(new SchedulerCommand.Call(new FleetCall.Announce(runner, 1), (reply) -> {
			if (isAwaited) {
				this.replies.getRef().tell(reply);
			}
		}));
	}

	private Behavior<RunnerChannel.Command> channel(RunnerRecord runner) {
		return Behaviors.receiveMessage((command) -> {
			if (command instanceof RunnerChannel.Send send) {
				this.sentOrders.add(new SentOrder(runner.key(), send));
				return Behaviors.same();
			}
			return Behaviors.stopped();
		});
	}

	private Instant now() {
		return Instant.ofEpochMilli(this.nowMillis.get());
	}

	private static RunnerRecord runner(String id) {
		return new RunnerRecord(new RunnerKey(id, 5), Optional.of("host-of-" + id), "pool", "10.0.0.2:1", "dc1",
				Optional.empty(), new Resources(TASKS_PER_RUNNER * 1_000, 16_384, 0), Set.of(), false);
	}

	private static BatchCommand submission(int job) {
		return new BatchCommand.SubmitJob("job-" + job, "queue", "team",
				new JobSpec(Integer.toString(300 + 10 * job), List.of(step()), 0, 0, 0),
				Optional.of(new QueueAddress("host", "/queue/")));
	}

	private static StepSpec step() {
		return new StepSpec(1, TASK, 500, List.of(), false, false, false, Optional.empty(), Optional.empty(),
				OptionalInt.empty(), false, false, Optional.empty(), OptionalInt.empty(), false, 0);
	}

	private static LeaderSettings settings() {
		return new LeaderSettings(new SessionSettings(6_000, 1_000, 700, 300, 150, 2_200),
				new WaveSettings(3_000, 3_000, 2_000, 5_000, 400),
				new BalanceSettings(3_000, 1_700, 1_500, 2_500, 400, 1_500), 60_000, 64);
	}

	private record SentOrder(RunnerKey runner, RunnerChannel.Send send) {

	}

	private record Execution(int run, long endMillis, RunOutcome outcome) {

	}

	private record PendingAnswer(RunnerChannel.Send send, long dueMillis) {

	}

	/** A runner that carries out starts one after another and waits for ends. */
	private final class FakeRunner {

		private final RunnerKey key;

		private final Map<TaskId, Execution> running = new HashMap<>();

		private final List<BatchCommand.End> ends = new ArrayList<>();

		private final List<PendingAnswer> pending = new ArrayList<>();

		private long lastEnd;

		private FakeRunner(RunnerKey key) {
			this.key = key;
		}

		private void receive(RunnerChannel.Send send) {
			if (send.dispatch().order() instanceof RunnerOrder.Heartbeat heartbeat) {
				this.ends.stream()
					.filter((end) -> end.number() <= heartbeat.acknowledgedEnd() && end.outcome().isDone())
					.forEach((end) -> DecisionRestartTests.this.acknowledged.add(end.task()));
				this.ends.removeIf((end) -> end.number() <= heartbeat.acknowledgedEnd());
				this.pending.add(new PendingAnswer(send, nowMillis() + heartbeat.waitMillis()));
			}
			else if (!(send.dispatch().order() instanceof RunnerOrder.Start)
					|| !DecisionRestartTests.this.startsAreLost) {
				this.pending.add(new PendingAnswer(send, nowMillis() + START_MILLIS));
			}
		}

		private void advance() {
			List.copyOf(this.running.keySet())
				.stream()
				.filter((task) -> this.running.get(task).endMillis() <= nowMillis())
				.forEach(this::end);
			List<PendingAnswer> due = this.pending.stream().filter(this::isDue).toList();
			this.pending.removeAll(due);
			due.forEach((answer) -> answer(answer.send()));
		}

		private boolean isDue(PendingAnswer answer) {
			boolean hasNews = answer.send().dispatch().order() instanceof RunnerOrder.Heartbeat && !this.ends.isEmpty();
			return hasNews || answer.dueMillis() <= nowMillis();
		}

		private void answer(RunnerChannel.Send send) {
			RunnerReply reply = new RunnerReply.Accepted(nowMillis());
			if (send.dispatch().order() instanceof RunnerOrder.Start start) {
				start(start);
			}
			else if (send.dispatch().order() instanceof RunnerOrder.Stop stop) {
				stop(stop);
			}
			else {
				this.ends.stream()
					.filter((end) -> end.outcome().isDone())
					.forEach((end) -> DecisionRestartTests.this.listedAsDone.add(end.task()));
				reply = new RunnerReply.Listing(nowMillis(), OptionalLong.of(this.key.bornMillis()),
						this.running.entrySet()
							.stream()
							.map((entry) -> new RunnerReply.RunningTask(entry.getKey(), entry.getValue().run(), "", 50,
									OptionalInt.empty()))
							.toList(),
						this.ends, true);
			}
			send.replyTo().tell(new RunnerChannel.Answered(send.dispatch(), reply));
		}

		private void start(RunnerOrder.Start start) {
			Optional<FakeRunner> other = DecisionRestartTests.this.runners.values()
				.stream()
				.filter((runner) -> runner.running.containsKey(start.task()))
				.findFirst();
			String description = "%s run %d on %s".formatted(start.task(), start.run(), this.key.id());
			if (other.isPresent()) {
				DecisionRestartTests.this.simultaneousStarts
					.add("%s beside %s".formatted(description, other.get().key.id()));
			}
			else if (DecisionRestartTests.this.done.contains(start.task())) {
				boolean isListed = DecisionRestartTests.this.listedAsDone.contains(start.task());
				DecisionRestartTests.this.startsAfterEnd.put(start.task(),
						"%s, end listed before: %s".formatted(description, isListed));
			}
			int workMillis = Integer.parseInt(start.specification());
			this.running.put(start.task(), new Execution(start.run(), nowMillis() + workMillis, RunOutcome.DONE));
		}

		private void stop(RunnerOrder.Stop stop) {
			Optional.ofNullable(this.running.get(stop.task()))
				.filter((execution) -> execution.run() == stop.run())
				.ifPresent((execution) -> this.running.put(stop.task(), new Execution(stop.run(),
						Math.min(execution.endMillis(), nowMillis() + 100), RunOutcome.STOPPED)));
		}

		private void end(TaskId task) {
			Execution execution = this.running.remove(task);
			this.lastEnd++;
			this.ends.add(new BatchCommand.End(this.lastEnd, task, execution.run(), execution.outcome(), ""));
			if (execution.outcome() == RunOutcome.STOPPED) {
				DecisionRestartTests.this.stoppedCount++;
			}
			if (execution.outcome().isDone()) {
				DecisionRestartTests.this.done.add(task);
			}
		}

		private long nowMillis() {
			return DecisionRestartTests.this.nowMillis.get();
		}

	}

}
