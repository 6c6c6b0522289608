package io.burdockpin.core.batch.state;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class BatchStateTests {

	private static final RunnerRecord RUNNER = BatchFixtures.runner("r1", "pool", 10);

	private final BatchState state = new BatchState();

	private long endNumber;

	@BeforeEach
	void configure() {
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(5, Resources.NONE, "pool")));
		apply(BatchFixtures.register(RUNNER));
	}

	/**
	 * Guards against an older configuration that arrives again and replaces a newer one.
	 */
	@Test
	void anOlderOrEqualVersionOfTheConfigurationChangesNothing() {
		Truth
			.assertThat(
					apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(5, Resources.NONE, "other"))))
			.isEqualTo(CommandResult.UNCHANGED);
		Truth
			.assertThat(
					apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(4, Resources.NONE, "other"))))
			.isEqualTo(CommandResult.UNCHANGED);
		Truth.assertThat(this.state.configuration().get().pool("pool")).isPresent();
	}

	@Test
	void aJobThatIsSubmittedAgainStaysOneJob() {
		submit("job", BatchFixtures.step(2));
		assign("job", 0, 0, 1);
		Truth.assertThat(submit("job", BatchFixtures.step(5))).isEqualTo(CommandResult.UNCHANGED);
		Truth.assertThat(this.state.job("job").get().spec().steps().get(0).taskCount()).isEqualTo(2);
		Truth.assertThat(this.state.queuedJobCount(BatchFixtures.addressOf("queue-pool"))).isEqualTo(1);
		apply(new BatchCommand.NoteEnds(RUNNER.key(), List.of(), List.of("job")));
		Truth.assertThat(submit("job", BatchFixtures.step(5))).isEqualTo(CommandResult.UNCHANGED);
		Truth.assertThat(this.state.queuedJobCount(BatchFixtures.addressOf("queue-pool"))).isEqualTo(0);
	}

	/**
	 * Guards against a number of waiting jobs that is too low, because an assignment
	 * counts as a start before any runner has begun the task.
	 */
	@Test
	void anAssignmentIsNoStartOfAJob() {
		submit("job", BatchFixtures.step(1));
		assign("job", 0, 0, 1);
		Truth.assertThat(this.state.queuedJobCount(BatchFixtures.addressOf("queue-pool"))).isEqualTo(1);
		release("job", 1);
		Truth.assertThat(this.state.queuedJobCount(BatchFixtures.addressOf("queue-pool"))).isEqualTo(1);
		assign("job", 0, 0, 2);
		end("job", 0, 0, 2, RunOutcome.LAPSED);
		Truth.assertThat(this.state.queuedJobCount(BatchFixtures.addressOf("queue-pool"))).isEqualTo(0);
	}

	@Test
	void aStepIsReadyOnlyWhenTheEarlierOnesAreDone() {
		submit("job", BatchFixtures.step(2), BatchFixtures.step(1, 0));
		assign("job", 0, 0, 1);
		assign("job", 0, 1, 1);
		end("job", 0, 0, 1, RunOutcome.DONE);
		Truth.assertThat(occurrence("job").isReady(1)).isFalse();
		end("job", 0, 1, 1, RunOutcome.DONE);
		Truth.assertThat(occurrence("job").isReady(1)).isTrue();
		assign("job", 1, 0, 1);
		end("job", 1, 0, 1, RunOutcome.DONE);
		Truth.assertThat(this.state.job("job").get().phase()).isEqualTo(BatchJobPhase.COMPLETED);
	}

	@Test
	void aTaskThatFailsUsesUpItsAttemptsAndOtherEndsDoNot() {
		submit("job", BatchFixtures.step(1));
		assign("job", 0, 0, 1);
		end("job", 0, 0, 1, RunOutcome.LAPSED);
		assign("job", 0, 0, 2);
		end("job", 0, 0, 2, RunOutcome.FAILED);
		Truth.assertThat(this.state.job("job").get().phase()).isEqualTo(BatchJobPhase.RUNNING);
		assign("job", 0, 0, 3);
		end("job", 0, 0, 3, RunOutcome.FAILED);
		Truth.assertThat(this.state.job("job").get().phase()).isEqualTo(BatchJobPhase.FAILED);
	}

	/**
	 * Guards against tasks that are executed twice. A new leader gets in contact with a
	 * runner only after the lease of the runner has expired, releases its run, and then
	 * receives the report that the run had completed.
	 */
	@Test
	void aTaskWhoseRunWasReleasedIsDoneWhenItsRunnerReportsTheCompletion() {
		submit("job", BatchFixtures.step(1));
		assign("job", 0, 0, 1);
		release("job", 1);
		Truth.assertThat(this.state.task(new TaskId("job", 0, 0, 0)).get().isWaiting()).isTrue();
		end("job", 0, 0, 1, RunOutcome.DONE);
		Truth.assertThat(this.state.job("job").get().phase()).isEqualTo(BatchJobPhase.COMPLETED);
	}

	/** Guards against a task whose completion is recorded for two runs. */
	@Test
	void aLateEndOfASupersededRunIsIgnored() {
		submit("job", BatchFixtures.step(1));
		assign("job", 0, 0, 1);
		release("job", 1);
		assign("job", 0, 0, 2);
		BatchCommand.End late = new BatchCommand.End(1, new TaskId("job", 0, 0, 0), 1, RunOutcome.DONE, "");
		Truth.assertThat(this.state.isSuperseded(late)).isTrue();
		end("job", 0, 0, 1, RunOutcome.DONE);
		Truth.assertThat(this.state.job("job").get().phase()).isEqualTo(BatchJobPhase.RUNNING);
		end("job", 0, 0, 2, RunOutcome.DONE);
		Truth.assertThat(this.state.job("job").get().phase()).isEqualTo(BatchJobPhase.COMPLETED);
		Truth.assertThat(this.state.runs().on(RUNNER.key())).isEmpty();
	}

	/** Guards against an end that is reported again and counted as a second attempt. */
	@Test
	void aLateFailureOfAnEarlierRunChangesNothing() {
		submit("job", BatchFixtures.step(1));
		assign("job", 0, 0, 1);
		release("job", 1);
		end("job", 0, 0, 1, RunOutcome.FAILED);
		end("job", 0, 0, 1, RunOutcome.FAILED);
		Truth.assertThat(this.state.task(new TaskId("job", 0, 0, 0)).get().failures()).isEqualTo(0);
		Truth.assertThat(this.state.task(new TaskId("job", 0, 0, 0)).get().isWaiting()).isTrue();
	}

	@Test
	void aLongRunningTaskIsStartedAgainHoweverItEnds() {
		submit("job", BatchFixtures.longRunning(1, 0, 1));
		for (int run = 1; run <= 5; run++) {
			assign("job", 0, 0, run);
			end("job", 0, 0, run, (run % 2 == 0) ? RunOutcome.DONE : RunOutcome.FAILED);
		}
		Truth.assertThat(this.state.job("job").get().phase()).isEqualTo(BatchJobPhase.RUNNING);
		Truth.assertThat(this.state.task(new TaskId("job", 0, 0, 0)).get().isWaiting()).isTrue();
	}

	/**
	 * Guards against a job that never starts. A runner restarts while a plan that assigns
	 * tasks to its previous incarnation is being committed.
	 */
	@Test
	void anAssignmentToAReplacedRunnerLeavesItsTaskWaiting() {
		submit("job", BatchFixtures.step(1));
		apply(BatchFixtures.register(BatchFixtures.runner("r1", "pool", 20)));
		assign("job", 0, 0, 1);
		Truth.assertThat(this.state.task(new TaskId("job", 0, 0, 0)).get().isWaiting()).isTrue();
		Truth.assertThat(this.state.runs().runners()).isEmpty();
		Truth.assertThat(this.state.runs().chargedTo("team")).isEqualTo(Resources.NONE);
		Truth.assertThat(this.state.queuedJobCount(BatchFixtures.addressOf("queue-pool"))).isEqualTo(1);
	}

	/** The same for a runner that was removed. */
	@Test
	void anAssignmentToARemovedRunnerLeavesItsTaskWaiting() {
		submit("job", BatchFixtures.step(1));
		apply(new BatchCommand.RemoveRunner(RUNNER.key()));
		assign("job", 0, 0, 1);
		Truth.assertThat(this.state.task(new TaskId("job", 0, 0, 0)).get().isWaiting()).isTrue();
		Truth.assertThat(this.state.runs().runners()).isEmpty();
	}

	/** Guards against a gang of which only some members are started. */
	@Test
	void aGangWithAMemberOnAReplacedRunnerIsNotAssigned() {
		submit("gang", BatchFixtures.gang(2));
		RunnerRecord other = BatchFixtures.runner("r2", "pool", 10);
		apply(BatchFixtures.register(other));
		apply(BatchFixtures.register(BatchFixtures.runner("r1", "pool", 20)));
		apply(new BatchCommand.AssignRuns(
				List.of(new BatchCommand.Assignment(new TaskId("gang", 0, 0, 0), 1, RUNNER.key()),
						new BatchCommand.Assignment(new TaskId("gang", 0, 0, 1), 1, other.key()))));
		Truth.assertThat(this.state.runs().runners()).isEmpty();
		Truth.assertThat(this.state.task(new TaskId("gang", 0, 0, 1)).get().isWaiting()).isTrue();
	}

	/**
	 * Guards against a job that waits for ever after an upgrade, since earlier versions
	 * stored runs on runners that are not registered.
	 */
	@Test
	void aRestoredRunOfARunnerThatIsNotRegisteredLeavesItsTaskWaiting() {
		submit("job", BatchFixtures.step(1));
		assign("job", 0, 0, 1);
		BatchSnapshot stored = this.state.snapshot();
		BatchState restored = BatchState.restore(new BatchSnapshot(stored.configuration(), stored.jobs(), List.of(),
				stored.runs(), stored.waves(), stored.moves(), stored.hostOrderMillis(), stored.registeredSequences(),
				stored.retiredQueues(), stored.closedDataCentres()));
		Truth.assertThat(restored.task(new TaskId("job", 0, 0, 0)).get().isWaiting()).isTrue();
		Truth.assertThat(restored.runs().chargedTo("team")).isEqualTo(Resources.NONE);
	}

	/**
	 * Guards against members that end at the same log entry again and again, because a
	 * runner has listed the end of a task that does not exist.
	 */
	@Test
	void theEndOfATaskThatDoesNotExistChangesNothing() {
		submit("job", BatchFixtures.step(1));
		for (TaskId unknown : List.of(new TaskId("job", 0, 0, 1), new TaskId("job", 0, 0, -1),
				new TaskId("job", 0, 1, 0), new TaskId("job", 0, -1, 0), new TaskId("job", 1, 0, 0),
				new TaskId("other", 0, 0, 0))) {
			for (RunOutcome outcome : RunOutcome.values()) {
				BatchCommand.End end = new BatchCommand.End(1, unknown, 0, outcome, "");
				Truth.assertThat(this.state.isSuperseded(end)).isFalse();
				apply(new BatchCommand.NoteEnds(RUNNER.key(), List.of(end), List.of()));
				apply(new BatchCommand.ReleaseRuns(List.of(new BatchCommand.Release(unknown, 0, ""))));
			}
		}
		Truth.assertThat(this.state.job("job").get().phase()).isEqualTo(BatchJobPhase.QUEUED);
	}

	/**
	 * Guards against members of a gang that resume from different checkpoints, which the
	 * runners do not accept as one run. Occurs when members on several runners end after
	 * the loss of one of them.
	 */
	@Test
	void theMembersOfAGangResumeFromTheCheckpointThatWasReportedLast() {
		submit("gang", BatchFixtures.gang(4));
		assignGang(4, 1);
		end(member(0), 1, RunOutcome.BROKEN, "first");
		end(member(1), 1, RunOutcome.LAPSED, "");
		apply(new BatchCommand.ReleaseRuns(List.of(new BatchCommand.Release(member(2), 1, "second"))));
		end(member(3), 1, RunOutcome.LAPSED, "");
		Truth.assertThat(checkpoints(4)).containsExactly("second", "second", "second", "second");
	}

	/**
	 * Guards against a gang that is started with two checkpoints. Occurs when a new
	 * leader starts a member after another one of the same run has ended.
	 */
	@Test
	void aMemberOfAGangKeepsTheCheckpointThatItsRunBeganWith() {
		submit("gang", BatchFixtures.gang(3));
		assignGang(3, 1);
		for (int index = 0; index < 3; index++) {
			end(member(index), 1, RunOutcome.BROKEN, "first");
		}
		assignGang(3, 2);
		end(member(0), 2, RunOutcome.BROKEN, "second");
		Truth.assertThat(checkpoints(3)).containsExactly("second", "first", "first").inOrder();
		end(member(1), 2, RunOutcome.LAPSED, "");
		end(member(2), 2, RunOutcome.LAPSED, "");
		Truth.assertThat(checkpoints(3)).containsExactly("second", "second", "second");
	}

	/**
	 * Guards against a gang that is started with two checkpoints after an upgrade, since
	 * earlier versions stored one for each member.
	 */
	@Test
	void theMembersOfARestoredGangResumeFromTheSameCheckpoint() {
		submit("gang", BatchFixtures.gang(3));
		BatchSnapshot.TaskImage early = new BatchSnapshot.TaskImage(false, 1, 0, "");
		BatchSnapshot stored = this.state.snapshot();
		BatchSnapshot.JobImage job = stored.jobs().get(0);
		BatchSnapshot.StepImage step = new BatchSnapshot.StepImage(0, 0, List.of(early,
				new BatchSnapshot.TaskImage(false, 1, 0, "first"), new BatchSnapshot.TaskImage(false, 1, 0, "second")));
		BatchSnapshot.JobImage mixed = new BatchSnapshot.JobImage(job.id(), job.queue(), job.workspace(), job.spec(),
				job.acceptedMillis(), job.phase(), 0, 0, List.of(new BatchSnapshot.OccurrenceImage(0, List.of(step))),
				job.address());
		BatchState restored = BatchState.restore(new BatchSnapshot(stored.configuration(), List.of(mixed),
				stored.runners(), stored.runs(), stored.waves(), stored.moves(), stored.hostOrderMillis(),
				stored.registeredSequences(), stored.retiredQueues(), stored.closedDataCentres()));
		List<String> checkpoints = restored.step(member(0))
			.get()
			.tasks()
			.stream()
			.map(BatchTask::checkpoint)
			.distinct()
			.toList();
		Truth.assertThat(checkpoints).hasSize(1);
		Truth.assertThat(checkpoints.get(0)).isNotEmpty();
	}

	/** Guards against a plain task that resumes from the checkpoint of another one. */
	@Test
	void tasksThatAreNoGangKeepTheirOwnCheckpoints() {
		submit("gang", BatchFixtures.step(3));
		assignGang(3, 1);
		end(member(0), 1, RunOutcome.STOPPED, "first");
		end(member(1), 1, RunOutcome.STOPPED, "second");
		end(member(2), 1, RunOutcome.STOPPED, "");
		Truth.assertThat(checkpoints(3)).containsExactly("first", "second", "").inOrder();
	}

	@Test
	void oneCompletedTaskCompletesItsWholeGang() {
		submit("gang", BatchFixtures.gang(3));
		for (int index = 0; index < 3; index++) {
			assign("gang", 0, index, 1);
		}
		end("gang", 0, 1, 1, RunOutcome.DONE);
		Truth.assertThat(this.state.job("gang").get().phase()).isEqualTo(BatchJobPhase.COMPLETED);
		Truth.assertThat(this.state.runs().on(RUNNER.key())).hasSize(2);
	}

	/** Guards against resources that are counted twice or never released. */
	@Test
	void aRunCountsFromItsAssignmentToItsEnd() {
		submit("job", BatchFixtures.step(2));
		assign("job", 0, 0, 1);
		assign("job", 0, 0, 2);
		Truth.assertThat(this.state.runs().reservedOn(RUNNER.key())).isEqualTo(BatchFixtures.TASK);
		apply(new BatchCommand.CancelJob("job"));
		Truth.assertThat(this.state.runs().chargedTo("team")).isEqualTo(BatchFixtures.TASK);
		end("job", 0, 0, 1, RunOutcome.STOPPED);
		Truth.assertThat(this.state.runs().chargedTo("team")).isEqualTo(Resources.NONE);
	}

	/** Guards against runs of an ended incarnation that block their tasks forever. */
	@Test
	void aNewIncarnationOfARunnerEndsTheRunsOfTheEarlierOne() {
		submit("job", BatchFixtures.step(1));
		assign("job", 0, 0, 1);
		Truth.assertThat(apply(BatchFixtures.register(BatchFixtures.runner("r1", "pool", 20))))
			.isEqualTo(CommandResult.APPLIED);
		Truth.assertThat(this.state.task(new TaskId("job", 0, 0, 0)).get().isWaiting()).isTrue();
		Truth.assertThat(apply(BatchFixtures.register(RUNNER))).isEqualTo(CommandResult.REFUSED);
	}

	/**
	 * Guards against a draining that ends because an earlier announcement is committed
	 * after the later one.
	 */
	@Test
	void anAnnouncementIsRefusedIfALaterOneIsRegistered() {
		apply(new BatchCommand.RegisterRunner(RUNNER.withoutNewTasks(), OptionalLong.of(6)));
		Truth.assertThat(apply(new BatchCommand.RegisterRunner(RUNNER, OptionalLong.of(5))))
			.isEqualTo(CommandResult.REFUSED);
		Truth.assertThat(this.state.runner(RUNNER.key())).hasValue(RUNNER.withoutNewTasks());
		Truth.assertThat(apply(new BatchCommand.RegisterRunner(RUNNER, OptionalLong.of(7))))
			.isEqualTo(CommandResult.APPLIED);
	}

	/** A leader of an earlier version commits no sequence numbers. */
	@Test
	void aRegistrationWithoutASequenceNumberKeepsTheOneThatIsKnown() {
		apply(new BatchCommand.RegisterRunner(RUNNER.withoutNewTasks(), OptionalLong.of(6)));
		Truth.assertThat(apply(new BatchCommand.RegisterRunner(RUNNER, OptionalLong.empty())))
			.isEqualTo(CommandResult.APPLIED);
		Truth.assertThat(this.state.registeredSequence(RUNNER.key())).isEqualTo(OptionalLong.of(6));
	}

	/** Guards against a runner whose announcements all count as too late. */
	@Test
	void aRegistrationWithoutASequenceNumberEndsADeparture() {
		apply(BatchCommand.RegisterRunner.departure(RUNNER));
		Truth.assertThat(this.state.isLeaving(RUNNER.key())).isTrue();
		apply(new BatchCommand.RegisterRunner(RUNNER, OptionalLong.empty()));
		Truth.assertThat(this.state.isLeaving(RUNNER.key())).isFalse();
		Truth.assertThat(this.state.isOutdated(RUNNER.key(), 7)).isFalse();
	}

	/** Guards against sequence numbers that are kept for runners that are gone. */
	@Test
	void theSequenceNumberOfARunnerIsForgottenWithItsRegistration() {
		apply(new BatchCommand.RegisterRunner(RUNNER, OptionalLong.of(6)));
		apply(BatchFixtures.register(BatchFixtures.runner("r1", "pool", 20)));
		Truth.assertThat(this.state.registeredSequence(RUNNER.key())).isEqualTo(OptionalLong.empty());
		apply(new BatchCommand.RemoveRunner(new RunnerKey("r1", 20)));
		Truth.assertThat(this.state.snapshot().registeredSequences()).isEmpty();
	}

	@Test
	void occurrencesOpenInOrderAndCompleteTheJobWithTheLast() {
		apply(BatchFixtures.submit("timed", "queue-pool", "team",
				new JobSpec("s", List.of(BatchFixtures.step(1)), 2, 1_000, 500)));
		Truth.assertThat(apply(new BatchCommand.OpenOccurrence("timed", 1))).isEqualTo(CommandResult.UNCHANGED);
		for (int occurrence = 0; occurrence < 2; occurrence++) {
			apply(new BatchCommand.OpenOccurrence("timed", occurrence));
			TaskId task = new TaskId("timed", occurrence, 0, 0);
			apply(new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(task, 1, RUNNER.key()))));
			end(task, 1, RunOutcome.DONE);
		}
		Truth.assertThat(this.state.job("timed").get().phase()).isEqualTo(BatchJobPhase.COMPLETED);
	}

	/**
	 * Guards against a second maintenance of a host, which exceeded the limit of a wave.
	 */
	@Test
	void aRepeatedCommandDoesNotStartMaintenanceAgain() {
		apply(new BatchCommand.StartWave(new MaintenanceWave(3, List.of("host-r1"), 1_000, 1, 7)));
		for (MaintenancePhase phase : List.of(MaintenancePhase.ORDERED, MaintenancePhase.BEGUN,
				MaintenancePhase.DONE)) {
			Truth.assertThat(apply(new BatchCommand.SetUpkeep(3, "host-r1", phase))).isEqualTo(CommandResult.APPLIED);
			Truth.assertThat(apply(new BatchCommand.SetUpkeep(3, "host-r1", phase))).isEqualTo(CommandResult.REFUSED);
		}
		Truth.assertThat(apply(new BatchCommand.SetUpkeep(3, "host-r1", MaintenancePhase.ORDERED)))
			.isEqualTo(CommandResult.REFUSED);
		Truth.assertThat(this.state.waves().get(3L).isCompleted()).isTrue();
	}

	/** Guards against two orders about the same host at the same time. */
	@Test
	void aHostIsEitherMovedOrMaintained() {
		apply(new BatchCommand.StartWave(new MaintenanceWave(3, List.of("host-r1", "host-r2"), 1_000, 2, 7)));
		Truth.assertThat(apply(new BatchCommand.SetMove("host-r1", "pool", MovePhase.ORDERED)))
			.isEqualTo(CommandResult.REFUSED);
		apply(new BatchCommand.SetMove("host-r9", "pool", MovePhase.ORDERED));
		apply(new BatchCommand.StartWave(new MaintenanceWave(4, List.of("host-r9"), 1_000, 1, 7)));
		Truth.assertThat(apply(new BatchCommand.SetUpkeep(4, "host-r9", MaintenancePhase.ORDERED)))
			.isEqualTo(CommandResult.REFUSED);
		apply(new BatchCommand.SetMove("host-r9", "pool", MovePhase.OVER));
		Truth.assertThat(apply(new BatchCommand.SetUpkeep(4, "host-r9", MaintenancePhase.ORDERED)))
			.isEqualTo(CommandResult.APPLIED);
	}

	@Test
	void aSnapshotRestoresTheSameState() {
		submit("job", BatchFixtures.step(3), BatchFixtures.step(1, 0));
		submit("gone", BatchFixtures.step(1));
		apply(new BatchCommand.CancelJob("gone"));
		assign("job", 0, 0, 1);
		assign("job", 0, 1, 1);
		end("job", 0, 1, 1, RunOutcome.DONE);
		apply(new BatchCommand.StartWave(new MaintenanceWave(3, List.of("host-r1", "host-r2"), 1_000, 1, 7)));
		apply(new BatchCommand.SetUpkeep(3, "host-r1", MaintenancePhase.ORDERED));
		apply(new BatchCommand.SetMove("host-r9", "pool", MovePhase.ORDERED));
		BatchSnapshot copy = this.state.snapshot();
		BatchState restored = BatchState.restore(copy);
		Truth.assertThat(restored.snapshot()).isEqualTo(copy);
		Truth.assertThat(restored.runs().reservedOn(RUNNER.key())).isEqualTo(BatchFixtures.TASK);
		Truth.assertThat(restored.task(new TaskId("job", 0, 0, 0)).get().isWaiting()).isFalse();
	}

	/**
	 * Guards against members with different states after one of them was restored. Occurs
	 * when jobs end in another order than they were submitted: the restored member kept
	 * the job that ended first for longer, and ignored its identifier when it was
	 * submitted again.
	 */
	@Test
	void aRestoredStateForgetsEndedJobsWhenTheOriginalDoes() {
		submit("lasts", BatchFixtures.step(1));
		submit("short", BatchFixtures.step(1));
		apply(new BatchCommand.CancelJob("short"));
		this.state.apply(new CommandGroup(100_000, List.of(new BatchCommand.CancelJob("lasts"))));
		BatchState restored = BatchState.restore(this.state.snapshot());
		CommandGroup later = new CommandGroup(190_000, List.of());
		this.state.apply(later);
		restored.apply(later);
		Truth.assertThat(this.state.job("short")).isEmpty();
		Truth.assertThat(restored.snapshot()).isEqualTo(this.state.snapshot());
	}

	private CommandResult apply(BatchCommand command) {
		return this.state.apply(new CommandGroup(1_000, List.of(command))).get(0);
	}

	private CommandResult submit(String id, StepSpec... steps) {
		return apply(BatchFixtures.submit(id, "queue-pool", "team", BatchFixtures.job(steps)));
	}

	private void assign(String job, int step, int index, int run) {
		apply(new BatchCommand.AssignRuns(
				List.of(new BatchCommand.Assignment(new TaskId(job, 0, step, index), run, RUNNER.key()))));
	}

	private void release(String job, int run) {
		apply(new BatchCommand.ReleaseRuns(List.of(new BatchCommand.Release(new TaskId(job, 0, 0, 0), run, ""))));
	}

	private void end(String job, int step, int index, int run, RunOutcome outcome) {
		end(new TaskId(job, 0, step, index), run, outcome);
	}

	private void end(TaskId task, int run, RunOutcome outcome) {
		end(task, run, outcome, "");
	}

	private void end(TaskId task, int run, RunOutcome outcome, String checkpoint) {
		RunnerKey key = RUNNER.key();
		this.endNumber++;
		apply(new BatchCommand.NoteEnds(key,
				List.of(new BatchCommand.End(this.endNumber, task, run, outcome, checkpoint)), List.of()));
	}

	private static TaskId member(int index) {
		return new TaskId("gang", 0, 0, index);
	}

	private void assignGang(int count, int run) {
		apply(new BatchCommand.AssignRuns(IntStream.range(0, count)
			.mapToObj((index) -> new BatchCommand.Assignment(member(index), run, RUNNER.key()))
			.toList()));
	}

	private List<String> checkpoints(int count) {
		return IntStream.range(0, count)
			.mapToObj((index) -> this.state.task(member(index)).get().checkpoint())
			.toList();
	}

	private Occurrence occurrence(String job) {
		return this.state.job(job).get().occurrence(0).get();
	}

}
