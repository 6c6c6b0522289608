package io.burdockpin.core.batch.lead;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.call.CallDecision;
import io.burdockpin.core.batch.call.CallRules;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.call.JobAdmission;
import io.burdockpin.core.batch.call.JobIntake;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchSnapshot;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/**
 * Guards against small documents that describe so much work that the control members run
 * out of memory or of processor time.
 */
class LargeJobTests {

	private static final int MAXIMUM_TASKS = 10_000;

	private final CallRules rules = new CallRules();

	private final BatchState state = new BatchState();

	LargeJobTests() {
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(1, Resources.NONE, "pool")));
	}

	@Test
	void aJobOfMillionsOfTasksIsRefusedWithoutARetry() {
		Truth.assertThat(submit("large", steps(400, MAXIMUM_TASKS)))
			.isEqualTo(new CallDecision.Answer(new FleetReply.Refused(FleetReply.Reason.OVERLOADED, Optional.empty())));
	}

	@Test
	void aJobWithManyDependenciesIsRefused() {
		List<StepSpec> steps = List.of(BatchFixtures.step(1),
				BatchFixtures.step(1, Collections.nCopies(100_000, 0).stream().mapToInt(Integer::intValue).toArray()));
		Truth.assertThat(submit("dependent", new JobSpec("", steps, 0, 0, 0))).isInstanceOf(CallDecision.Answer.class);
	}

	@Test
	void aJobFarLargerThanOrdinaryOnesIsAccepted() {
		Truth.assertThat(submit("wide", steps(2, MAXIMUM_TASKS))).isInstanceOf(CallDecision.Commit.class);
		Truth.assertThat(submit("long", steps(1_000, 10))).isInstanceOf(CallDecision.Commit.class);
	}

	@Test
	void aKnownJobIsAcknowledgedHoweverLargeItIs() {
		apply(BatchFixtures.submit("known", "queue-pool", "team", steps(400, MAXIMUM_TASKS)));
		Truth.assertThat(submit("known", steps(400, MAXIMUM_TASKS)))
			.isEqualTo(new CallDecision.Answer(new FleetReply.Accepted()));
	}

	/** Guards against a bound on each job that many jobs together exceed. */
	@Test
	void manyLargeJobsLeaveRoomForOrdinaryOnesAndForOtherWorkspaces() {
		JobIntake intake = new JobIntake();
		JobSpec large = steps(2, MAXIMUM_TASKS);
		int accepted = 0;
		while (accepted < 100 && intake.retryAfterMillis(this.state, "team", large).isEmpty()) {
			BatchCommand.SubmitJob command = BatchFixtures.submit("large" + accepted, "queue-pool", "team", large);
			intake.onProposed(command);
			if (accepted % 2 == 0) {
				apply(command);
				intake.onApplied(command);
			}
			accepted++;
		}
		Truth.assertThat(accepted).isAtMost(10);
		Truth.assertThat(intake.retryAfterMillis(this.state, "team", steps(4, 40))).isEmpty();
		Truth.assertThat(intake.retryAfterMillis(this.state, "other", large)).isEmpty();
	}

	@Test
	void endedJobsGiveTheirRoomBack() {
		for (int number = 0; number < 1_000; number++) {
			String id = "job" + number;
			Truth.assertThat(new JobIntake().retryAfterMillis(this.state, "team", steps(2, MAXIMUM_TASKS))).isEmpty();
			apply(BatchFixtures.submit(id, "queue-pool", "team", steps(2, MAXIMUM_TASKS)));
			apply(new BatchCommand.CancelJob(id));
		}
	}

	/** Guards against members that end at each start, since the log holds such a job. */
	@Test
	void aJobOfAnEarlierVersionTakesMemoryOnlyForTheTasksThatWereStarted() {
		apply(BatchFixtures.register(BatchFixtures.runner("r1", "pool", 1)));
		apply(BatchFixtures.submit("large", "queue-pool", "team", steps(400, MAXIMUM_TASKS)));
		TaskId started = new TaskId("large", 0, 3, 2);
		apply(new BatchCommand.AssignRuns(
				List.of(new BatchCommand.Assignment(started, 1, BatchFixtures.runner("r1", "pool", 1).key()))));

		BatchSnapshot snapshot = this.state.snapshot();
		Truth.assertThat(listedTasks(snapshot)).isAtMost(10);
		BatchState restored = BatchState.restore(snapshot);
		Truth.assertThat(restored.task(started).orElseThrow().run()).isPresent();
		Truth.assertThat(restored.step(started).orElseThrow().tasks()).hasSize(MAXIMUM_TASKS);
		Truth.assertThat(restored.step(started).orElseThrow().isDone()).isFalse();
		Truth.assertThat(listedTasks(restored.snapshot())).isEqualTo(listedTasks(snapshot));
	}

	/** Guards against members of the earlier version that take a step for complete. */
	@Test
	void snapshotsOfOrdinaryJobsListAllTasksForEarlierVersions() {
		apply(BatchFixtures.submit("wide", "queue-pool", "team", steps(2, MAXIMUM_TASKS)));
		Truth.assertThat(listedTasks(this.state.snapshot())).isEqualTo(2 * MAXIMUM_TASKS);
	}

	/** Guards against due occurrences that are opened without end. */
	@Test
	void aScheduledJobWhoseTasksFitNowhereOpensFewOccurrences() {
		SimulatedFleet fleet = new SimulatedFleet(new Random(1), SimulatedFleet.Faults.NONE, 3, 20);
		fleet.run(1_000);
		fleet.submit("scheduled", new JobSpec("", List.of(oversized(MAXIMUM_TASKS)), 1_000_000, 0, 1));
		fleet.submit("small", new JobSpec("", List.of(oversized(1)), 1_000_000, 0, 1));
		fleet.submit("ordinary", 3, 6, false);
		fleet.run(30_000);
		Truth.assertThat(fleet.state().job("scheduled").orElseThrow().occurrences()).hasSize(1);
		Truth.assertThat(fleet.state().job("small").orElseThrow().occurrences().size()).isAtMost(250);
		Truth.assertThat(fleet.phase("ordinary")).hasValue(BatchJobPhase.COMPLETED);
	}

	/** Guards against occurrences that begin late because earlier ones are late. */
	@Test
	void theOccurrencesOfAnOrdinaryJobOverlap() {
		SimulatedFleet fleet = new SimulatedFleet(new Random(2), SimulatedFleet.Faults.NONE, 3, 20);
		fleet.run(1_000);
		fleet.submit("scheduled", new JobSpec("", Collections.nCopies(5, oversized(38)), 8, 0, 2_000));
		fleet.run(30_000);
		Truth.assertThat(fleet.state().job("scheduled").orElseThrow().occurrences()).hasSize(8);
	}

	// helpers

	private CallDecision submit(String id, JobSpec spec) {
		return this.rules.decide(new FleetCall.Submit("host", "/queue-pool/" + id, Optional.of("key"), spec),
				this.state, JobAdmission.ALWAYS);
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(1_000, List.of(command)));
	}

	private static JobSpec steps(int steps, int tasks) {
		return new JobSpec("", Collections.nCopies(steps, BatchFixtures.step(tasks)), 0, 0, 0);
	}

	private static StepSpec oversized(int tasks) {
		return new StepSpec(tasks, new Resources(1_000_000, 0, 0), 500, List.of(), false, false, false,
				Optional.empty(), Optional.empty(), OptionalInt.empty(), false, false, Optional.empty(),
				OptionalInt.empty(), false, 0);
	}

	private static int listedTasks(BatchSnapshot snapshot) {
		return snapshot.jobs()
			.stream()
			.flatMap((job) -> job.occurrences().stream())
			.flatMap((occurrence) -> occurrence.steps().stream())
			.mapToInt((step) -> step.tasks().size())
			.sum();
	}

}
