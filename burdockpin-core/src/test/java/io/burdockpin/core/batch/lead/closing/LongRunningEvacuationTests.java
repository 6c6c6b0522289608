package io.burdockpin.core.batch.lead.closing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.lead.SimulatedFleet;
import io.burdockpin.core.batch.lead.run.RunSpec;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Load: a closed data centre with long-running tasks, while the other data centre is
 * partly or completely full.
 */
class LongRunningEvacuationTests {

	private static final int NO_BUDGET = 0;

	private static final RunnerRecord LEFT = BatchFixtures.runner("left", "pool", 1);

	/** Holds four tasks of the size that all tests use. */
	private static final RunnerRecord OTHER = inDataCentre(BatchFixtures.runner("other", "pool", 1), "dc2");

	private final BatchState state = new BatchState();

	private final LongRunningEvacuation evacuation = new LongRunningEvacuation(this.state);

	private final Map<RunnerKey, RunnerSession> sessions = new HashMap<>();

	@BeforeEach
	void configure() {
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(1, Resources.NONE, "pool")));
		List.of(LEFT, OTHER).forEach((runner) -> {
			apply(BatchFixtures.register(runner));
			this.sessions.put(runner.key(), new RunnerSession(runner, SimulatedFleet.SETTINGS.sessions(), 1, 0));
		});
	}

	@Test
	void nothingMovesWhileTheDataCentreIsOpen() {
		start("service", BatchFixtures.longRunning(2, 0, 1), LEFT);
		Truth.assertThat(stoppedBy(List.of(OTHER), List.of())).isEqualTo(0);
	}

	@Test
	void asManyTasksMoveAtATimeAsTheBudgetPermits() {
		start("service", BatchFixtures.longRunning(3, 0, 1), LEFT);
		close();
		Truth.assertThat(stoppedBy(List.of(OTHER), List.of())).isEqualTo(1);
		Truth.assertThat(stoppedBy(List.of(OTHER), List.of())).isEqualTo(1);
	}

	@Test
	void tasksStayWhereTheyAreWhileNoOtherRunnerAcceptsThem() {
		start("service", BatchFixtures.longRunning(2, 0, NO_BUDGET), LEFT);
		close();
		Truth.assertThat(stoppedBy(List.of(), List.of())).isEqualTo(0);
		RunnerRecord ofOtherPool = BatchFixtures.runner("elsewhere", "other-pool", 1);
		Truth.assertThat(stoppedBy(List.of(ofOtherPool), List.of())).isEqualTo(0);
	}

	/** Guards against two tasks that are stopped for the same free place. */
	@Test
	void eachTaskTakesAPlaceOfItsOwn() {
		start("service", BatchFixtures.longRunning(3, 0, NO_BUDGET), LEFT);
		start("filler", BatchFixtures.longRunning(2, 0, NO_BUDGET), OTHER);
		close();
		Truth.assertThat(stoppedBy(List.of(OTHER), List.of())).isEqualTo(2);
		Truth.assertThat(stoppedBy(List.of(OTHER), List.of())).isEqualTo(2);
	}

	/** Guards against a place that the plan has given to another task. */
	@Test
	void aPlaceThatThePlanHasTakenIsNotFree() {
		start("service", BatchFixtures.longRunning(3, 0, NO_BUDGET), LEFT);
		start("filler", BatchFixtures.longRunning(2, 0, NO_BUDGET), OTHER);
		apply(BatchFixtures.submit("job", "queue-pool", "team", BatchFixtures.job(BatchFixtures.step(1))));
		close();
		BatchCommand.Assignment planned = new BatchCommand.Assignment(new TaskId("job", 0, 0, 0), 1, OTHER.key());
		Truth.assertThat(stoppedBy(List.of(OTHER), List.of(planned))).isEqualTo(1);
	}

	@Test
	void theLimitPerRunnerBindsThePlaces() {
		start("service", BatchFixtures.longRunning(2, 1, NO_BUDGET), LEFT);
		close();
		Truth.assertThat(stoppedBy(List.of(OTHER), List.of())).isEqualTo(1);
	}

	/** Guards against a task that is stopped although an earlier one still waits. */
	@Test
	void noTaskIsStoppedWhileAnotherOneOfItsStepWaits() {
		start("service", BatchFixtures.longRunning(3, 0, 2), LEFT);
		close();
		apply(new BatchCommand.ReleaseRuns(List.of(new BatchCommand.Release(new TaskId("service", 0, 0, 0), 1, ""))));
		this.sessions.get(LEFT.key()).remove(new TaskId("service", 0, 0, 0), 1);
		Truth.assertThat(stoppedBy(List.of(OTHER), List.of())).isEqualTo(0);
	}

	@Test
	void finiteTasksAreNotStopped() {
		start("job", BatchFixtures.step(3), LEFT);
		close();
		Truth.assertThat(stoppedBy(List.of(OTHER), List.of())).isEqualTo(0);
	}

	private void start(String job, StepSpec step, RunnerRecord runner) {
		apply(BatchFixtures.submit(job, "queue-pool", "team", BatchFixtures.job(step)));
		apply(new BatchCommand.AssignRuns(IntStream.range(0, step.taskCount())
			.mapToObj((index) -> new BatchCommand.Assignment(new TaskId(job, 0, 0, index), 1, runner.key()))
			.toList()));
		RunnerSession session = this.sessions.get(runner.key());
		this.state.runs()
			.on(runner.key())
			.forEach((run) -> session.add(run, new RunSpec("", "", false, OptionalLong.empty(), OptionalInt.empty()),
					true));
		session.onHeartbeatReply(new RunnerReply.Listing(100, OptionalLong.of(1),
				this.state.runs()
					.on(runner.key())
					.stream()
					.map((run) -> new RunnerReply.RunningTask(run.task(), run.number(), "", 100, OptionalInt.empty()))
					.toList(),
				List.of(), true), 100);
	}

	private void close() {
		apply(new BatchCommand.CloseDataCentre(LEFT.dataCentre(), "operator"));
	}

	private long stoppedBy(List<RunnerRecord> usable, List<BatchCommand.Assignment> planned) {
		this.evacuation.onPlan(usable, planned, this.sessions, 150);
		return this.state.runs()
			.on(LEFT.key())
			.stream()
			.filter((run) -> this.sessions.get(LEFT.key()).isStopping(run.task()))
			.count();
	}

	private static RunnerRecord inDataCentre(RunnerRecord runner, String dataCentre) {
		return new RunnerRecord(runner.key(), runner.host(), runner.pool(), runner.address(), dataCentre, runner.rack(),
				runner.capacity(), runner.labels(), runner.draining());
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(0, List.of(command)));
	}

}
