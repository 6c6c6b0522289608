package io.burdockpin.core.batch.lead.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.lead.pool.PoolDemand;
import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.lead.run.RunnerReliabilityTracker;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

class TaskPlannerTests {

	private static final long NOW_MILLIS = 1_000_000;

	private final TaskPlanner planner = new TaskPlanner(new DurationEstimator(), 1_700);

	private final BatchState state = new BatchState();

	private final List<RunnerRecord> runners = new ArrayList<>();

	private final Set<RunnerKey> drainedRunners = new HashSet<>();

	@Test
	void neverExceedsTheCapacityOfARunnerOrTheLimitOfAWorkspace() {
		for (int seed = 0; seed < 200; seed++) {
			TaskPlannerTests round = new TaskPlannerTests();
			Random random = new Random(seed);
			int limitMillicores = 3_000 + random.nextInt(9_000);
			round.configure(new Resources(limitMillicores, 0, 0));
			for (int number = 0; number < 1 + random.nextInt(5); number++) {
				round.addRunner("r" + number);
			}
			for (int number = 0; number < random.nextInt(8); number++) {
				StepSpec step = (random.nextInt(3) == 0) ? BatchFixtures.gang(1 + random.nextInt(5))
						: BatchFixtures.step(1 + random.nextInt(9));
				round.submit("job" + number, NOW_MILLIS - random.nextInt(5_000), step);
			}
			Map<RunnerKey, Long> counts = round.plan()
				.stream()
				.collect(Collectors.groupingBy(BatchCommand.Assignment::runner, Collectors.counting()));
			long total = counts.values().stream().mapToLong(Long::longValue).sum();
			Truth.assertWithMessage("seed %s", seed)
				.that(counts.values().stream().allMatch((count) -> count <= 4))
				.isTrue();
			Truth.assertWithMessage("seed %s", seed).that(total * 1_000).isAtMost(limitMillicores);
		}
	}

	@Test
	void aGangIsPlacedAsAWholeOrNotAtAll() {
		configure(Resources.NONE);
		addRunner("r1");
		submit("gang", NOW_MILLIS, BatchFixtures.gang(5));
		Truth.assertThat(plan()).isEmpty();
		addRunner("r2");
		Truth.assertThat(plan()).hasSize(5);
	}

	@Test
	void tasksWithAMaximumPerRunnerUseSeveralRunners() {
		configure(Resources.NONE);
		addRunner("r1");
		addRunner("r2");
		submit("job", NOW_MILLIS, limitedPerRunner(3, 1));
		Truth.assertThat(plan().stream().map(BatchCommand.Assignment::runner).distinct().count()).isEqualTo(2);
		Truth.assertThat(plan()).hasSize(2);
	}

	/**
	 * Guards against steps with unavailable tasks, whose hosts could not be maintained.
	 */
	@Test
	void aLongRunningStepIsStartedAsAWholeAndRestoredFirst() {
		configure(Resources.NONE);
		addRunner("r1");
		submit("service", NOW_MILLIS, BatchFixtures.longRunning(3, 1, 1));
		Truth.assertThat(plan()).isEmpty();
		addRunner("r2");
		addRunner("r3");
		List<BatchCommand.Assignment> started = plan();
		Truth.assertThat(started).hasSize(3);
		apply(new BatchCommand.AssignRuns(started));
		apply(new BatchCommand.ReleaseRuns(List.of(new BatchCommand.Release(started.get(0).task(), 1, ""))));
		submit("batch", NOW_MILLIS, BatchFixtures.step(12));
		Truth.assertThat(plan().get(0).task().job()).isEqualTo("service");
	}

	/**
	 * Guards against free capacity that suffices in total but not on any single runner.
	 */
	@Test
	void aPoolWithoutARunnerWithEnoughCapacityForATaskLacksCapacity() {
		configure(Resources.NONE);
		addRunner("r1");
		submit("job", NOW_MILLIS, BatchFixtures.step(5));
		Truth.assertThat(wholePlan().poolsLackingCapacity()).containsExactly("pool");
		submit("small", NOW_MILLIS, BatchFixtures.step(1));
		addRunner("r2");
		Truth.assertThat(wholePlan().poolsLackingCapacity()).isEmpty();
	}

	/** Load: long-running tasks fill a pool before the demand peak of its queue. */
	@Test
	void longRunningStepsLeaveAQuarterOfThePoolToOtherTasks() {
		configure(Resources.NONE);
		addRunner("r1");
		addRunner("r2");
		for (int number = 0; number < 8; number++) {
			submit("service" + number, NOW_MILLIS, BatchFixtures.longRunning(1, 0, 1));
		}
		Truth.assertThat(plan()).hasSize(6);
	}

	/**
	 * Guards against a long-running step that is not started again. Occurs when the only
	 * host of the step is lost, and other long-running tasks use most of their share of
	 * the smaller pool.
	 */
	@Test
	void aLongRunningStepThatLostAllItsTasksIsRestoredBeyondTheLongRunningShare() {
		configure(Resources.NONE);
		for (int number = 0; number < 4; number++) {
			addRunner("r" + number);
		}
		for (int number = 0; number < 3; number++) {
			submit("service" + number, NOW_MILLIS, BatchFixtures.longRunning(4, 0, 1));
		}
		List<BatchCommand.Assignment> started = plan();
		Truth.assertThat(started).hasSize(12);
		apply(new BatchCommand.AssignRuns(started));
		RunnerRecord lost = this.runners.stream()
			.filter((runner) -> this.state.runs().on(runner.key()).size() == 4)
			.findFirst()
			.get();
		this.runners.remove(lost);
		apply(new BatchCommand.RemoveRunner(lost.key()));
		List<BatchCommand.Assignment> restored = plan();
		Truth.assertThat(restored).hasSize(4);
		apply(new BatchCommand.AssignRuns(restored));
		Truth.assertThat(plan()).isEmpty();
	}

	/**
	 * Guards against a long-running step that never starts, because it is larger than the
	 * long-running share of a pool that cannot grow.
	 */
	@Test
	void aNewLongRunningStepStartsInAnUnderusedPoolOnceItHasWaited() {
		configure(Resources.NONE);
		addRunner("r1");
		submit("waiting", NOW_MILLIS - 5_000, BatchFixtures.longRunning(4, 0, 1));
		Truth.assertThat(plan()).hasSize(4);
		apply(new BatchCommand.AssignRuns(plan()));
		addRunner("r2");
		submit("next", NOW_MILLIS - 5_000, BatchFixtures.longRunning(3, 0, 1));
		Truth.assertThat(plan()).isEmpty();
	}

	/**
	 * Guards against a long-running step that never starts, because the pool grows to the
	 * required size but that size does not suffice for the long-running share.
	 */
	@Test
	void aPoolOfTheRequiredSizeHasCapacityForALongRunningStep() {
		for (int tasks = 1; tasks <= 40; tasks++) {
			TaskPlannerTests round = new TaskPlannerTests();
			round.configure(Resources.NONE);
			round.submit("service", NOW_MILLIS, BatchFixtures.longRunning(tasks, 0, 1));
			PoolDemand demand = new PoolDemand(round.state, new DurationEstimator());
			demand.observe(round.state.configuration().get(), 0, NOW_MILLIS, NOW_MILLIS);
			int requiredHosts = demand.servingHosts("pool", new PoolDemand.ResourceAmount(
					BatchFixtures.CAPACITY.cpuMillicores(), BatchFixtures.CAPACITY.memoryMebibytes()));
			for (int host = 0; host < requiredHosts; host++) {
				round.addRunner("r" + host);
			}
			Truth.assertWithMessage("%s tasks", tasks).that(round.plan()).hasSize(tasks);
		}
	}

	@Test
	void aLabelThatNoRunnerHasKeepsATaskWaiting() {
		configure(Resources.NONE);
		this.runners.add(BatchFixtures.runner("r1", "pool", 1, "a"));
		StepSpec step = new StepSpec(1, BatchFixtures.TASK, 500, List.of(), false, false, false, Optional.of("b"),
				Optional.empty(), OptionalInt.empty(), false, false, Optional.empty(), OptionalInt.empty(), false, 0);
		submit("job", NOW_MILLIS, step);
		Truth.assertThat(plan()).isEmpty();
		this.runners.add(BatchFixtures.runner("r2", "pool", 1, "b"));
		Truth.assertThat(plan()).hasSize(1);
	}

	@Test
	void aSuspectRunnerGetsTasksOnlyIfNoOtherCan() {
		configure(Resources.NONE);
		addRunner("r1");
		addRunner("r2");
		submit("job", NOW_MILLIS, BatchFixtures.step(5));
		List<BatchCommand.Assignment> planned = this.planner.plan(this.state, this.runners, this.drainedRunners,
				(runner) -> runner.id().equals("r1") ? RunnerReliability.SUSPECT : RunnerReliability.SOUND, NOW_MILLIS)
			.assignments();
		Truth.assertThat(planned.stream().filter((assignment) -> assignment.runner().id().equals("r2")).count())
			.isEqualTo(4);
	}

	/**
	 * Load: a slow or failing runner in a full pool. Each task that spills over to it
	 * makes its whole job late.
	 */
	@Test
	void tasksWaitForASoundRunnerWhileMostRunnersAreSound() {
		configure(Resources.NONE);
		addRunner("r1");
		addRunner("r2");
		addRunner("r3");
		submit("job", NOW_MILLIS, BatchFixtures.step(12));
		List<BatchCommand.Assignment> planned = this.planner.plan(this.state, this.runners, this.drainedRunners,
				(runner) -> runner.id().equals("r1") ? RunnerReliability.SUSPECT : RunnerReliability.SOUND, NOW_MILLIS)
			.assignments();
		Truth.assertThat(planned).hasSize(8);
		Truth.assertThat(planned.stream().noneMatch((assignment) -> assignment.runner().id().equals("r1"))).isTrue();
	}

	/** Guards against a task whose attempts are all used up by one failing runner. */
	@Test
	void aTaskThatHasFailedAvoidsRunnersWithAFailure() {
		configure(Resources.NONE);
		addRunner("r1");
		addRunner("r2");
		submit("job", NOW_MILLIS, BatchFixtures.step(1));
		BatchCommand.Assignment first = plan().get(0);
		apply(new BatchCommand.AssignRuns(List.of(first)));
		apply(new BatchCommand.NoteEnds(first.runner(),
				List.of(new BatchCommand.End(1, first.task(), 1, RunOutcome.FAILED, "")), List.of()));
		RunnerReliabilityTracker reputation = new RunnerReliabilityTracker();
		reputation.recordEnd(first.runner(), RunOutcome.FAILED, NOW_MILLIS);
		List<BatchCommand.Assignment> next = this.planner
			.plan(this.state, this.runners, this.drainedRunners, (runner) -> reputation.reliability(runner, NOW_MILLIS),
					NOW_MILLIS)
			.assignments();
		Truth.assertThat(next.get(0).runner()).isNotEqualTo(first.runner());
	}

	/** Load: more work than capacity. Late tasks must not delay others. */
	@Test
	void tasksThatCanMeetTheirObjectivePrecedeLateTasks() {
		configure(Resources.NONE);
		addRunner("r1");
		submit("late", NOW_MILLIS - 60_000, BatchFixtures.step(4));
		submit("fresh", NOW_MILLIS, BatchFixtures.step(4));
		Set<String> first = plan().stream().map((assignment) -> assignment.task().job()).collect(Collectors.toSet());
		Truth.assertThat(first).containsExactly("fresh");
	}

	/**
	 * Guards against tasks that are stopped for maintenance before their pool has a host
	 * for them.
	 */
	@Test
	void aPoolWithoutAHostForTheNextTasksThatMaintenanceStopsLacksCapacity() {
		configure(Resources.NONE);
		addRunner("r1");
		addRunner("r2");
		submit("service", NOW_MILLIS, BatchFixtures.longRunning(2, 1, 1));
		apply(new BatchCommand.AssignRuns(plan()));
		RunnerRecord drained = this.runners.remove(0);
		Truth.assertThat(wholePlan().poolsLackingCapacity()).isEmpty();
		this.drainedRunners.add(drained.key());
		Truth.assertThat(wholePlan().poolsLackingCapacity()).containsExactly("pool");
		Truth.assertThat(wholePlan().runnersForRestarts()).isEmpty();
		addRunner("r3");
		Truth.assertThat(wholePlan().poolsLackingCapacity()).isEmpty();
		Truth.assertThat(wholePlan().runnersForRestarts()).containsExactly(new RunnerKey("r3", 1));
		Truth.assertThat(wholePlan().assignments()).isEmpty();
	}

	/** Guards against tasks that maintenance has to stop a second time. */
	@Test
	void longRunningTasksAvoidHostsThatHaveYetToBeMaintained() {
		configure(Resources.NONE);
		addRunner("r1");
		addRunner("r2");
		apply(new BatchCommand.StartWave(new MaintenanceWave(1, List.of("host-r1"), 26_000, 1, NOW_MILLIS)));
		submit("service", NOW_MILLIS, BatchFixtures.longRunning(2, 0, 1));
		Truth.assertThat(plan().stream().map((assignment) -> assignment.runner().id()).toList())
			.containsExactly("r2", "r2");
	}

	@Test
	void runNumbersIncrease() {
		configure(Resources.NONE);
		addRunner("r1");
		submit("job", NOW_MILLIS, BatchFixtures.step(1));
		Map<Integer, Integer> runs = new HashMap<>();
		for (int round = 1; round <= 3; round++) {
			BatchCommand.Assignment assignment = plan().get(0);
			runs.put(round, assignment.run());
			apply(new BatchCommand.AssignRuns(List.of(assignment)));
			apply(new BatchCommand.ReleaseRuns(
					List.of(new BatchCommand.Release(assignment.task(), assignment.run(), ""))));
		}
		Truth.assertThat(runs).containsExactly(1, 1, 2, 2, 3, 3);
	}

	private static StepSpec limitedPerRunner(int count, int maximumPerRunner) {
		return new StepSpec(count, BatchFixtures.TASK, 500, List.of(), false, false, false, Optional.empty(),
				Optional.empty(), OptionalInt.of(maximumPerRunner), false, false, Optional.empty(), OptionalInt.empty(),
				false, 0);
	}

	private List<BatchCommand.Assignment> plan() {
		return wholePlan().assignments();
	}

	private Plan wholePlan() {
		return this.planner.plan(this.state, this.runners, this.drainedRunners, (runner) -> RunnerReliability.SOUND,
				NOW_MILLIS);
	}

	private void configure(Resources limit) {
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(1, limit, "pool")));
	}

	private void addRunner(String id) {
		RunnerRecord runner = BatchFixtures.runner(id, "pool", 1);
		this.runners.add(runner);
		apply(BatchFixtures.register(runner));
	}

	private void submit(String id, long acceptedMillis, StepSpec step) {
		this.state.apply(new CommandGroup(acceptedMillis,
				List.of(BatchFixtures.submit(id, "queue-pool", "team", BatchFixtures.job(step)))));
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(NOW_MILLIS, List.of(command)));
	}

}
