package io.burdockpin.core.batch.lead.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/**
 * Load: jobs of all sizes that ask for more than the capacity of their pool. The
 * simulated loads are compared with the order of least slack; the figures are printed.
 * {@code -Dplacement.seeds=20} runs each load with that many seeds.
 */
class PlacementOrderTests {

	private static final int SEEDS = Integer.getInteger("placement.seeds", 4);

	private static final long NOW_MILLIS = 1_000_000;

	private static final DoubleUnaryOperator PEAK = (share) -> (share < 0.5) ? 5 * (1 - Math.abs(share - 0.25) * 4)
			: 0.05;

	private final BatchState state = new BatchState();

	private final List<RunnerRecord> runners = new ArrayList<>();

	/**
	 * Guards against decisions that change although nothing is short: both rules place
	 * the same tasks on the same runners.
	 */
	@Test
	void aPoolWithFreeCapacityForAllThatWaitsIsPlannedByLeastSlack() {
		int compared = 0;
		for (int seed = 0; seed < 200; seed++) {
			Random random = new Random(seed);
			PlacementOrderTests round = new PlacementOrderTests();
			round.configure(1 + random.nextInt(3), 1 + random.nextInt(3));
			for (int number = 0; number < 4 + random.nextInt(12); number++) {
				round.addRunner("r" + number);
			}
			for (int number = 0; number < random.nextInt(8); number++) {
				round.submit("job" + number, random.nextInt(3), NOW_MILLIS - random.nextInt(9_000),
						BatchFixtures.step(1 + random.nextInt(6)));
			}
			Plan plan = round.plan(OrderRule.VALUE_IN_TIME);
			if (plan.order().equals(OrderFigures.NONE)) {
				Truth.assertWithMessage("seed %s", seed)
					.that(plan.assignments())
					.isEqualTo(round.plan(OrderRule.LEAST_SLACK).assignments());
				compared += plan.assignments().isEmpty() ? 0 : 1;
			}
		}
		Truth.assertThat(compared).isAtLeast(80);
	}

	/**
	 * Guards against jobs that are all served as late as they can be, so that in a peak
	 * all of them are late together.
	 */
	@Test
	void aTurnOfFiveTimesTheCapacityServesMoreJobsInTimeThanTheOrderOfSlack() {
		Comparison peak = compare("peak of 5 times", OverloadSimulation.Load.of(12_000, PEAK));
		Truth.assertThat(peak.gain(OverloadSimulation::valueInTime)).isAtLeast(0.05);
		Truth.assertThat(peak.gain(OverloadSimulation::jobsInTime)).isAtLeast(0.05);
		peak.assertNobodyStarves();
	}

	/** Guards against an order that pays only while the overload is short. */
	@Test
	void lastingOverloadServesMoreJobsInTimeThanTheOrderOfSlack() {
		Comparison lasting = compare("1.5 times, lasting", OverloadSimulation.Load.of(20_000, (share) -> 1.5));
		Truth.assertThat(lasting.gain(OverloadSimulation::valueInTime)).isAtLeast(0.05);
		Truth.assertThat(lasting.gain(OverloadSimulation::jobsInTime)).isAtLeast(0.05);
		lasting.assertNobodyStarves();
	}

	/**
	 * Guards against jobs that are deferred for good at the beginning of a peak, although
	 * the hosts that will serve them are on their way.
	 */
	@Test
	void aPoolThatGrowsDuringThePeakServesNearlyAsManyJobsInTime() {
		Comparison growing = compare("3 times, growing pool",
				OverloadSimulation.Load.of(8_000, (share) -> 3).growing(50, 1_700));
		Truth.assertThat(growing.gain(OverloadSimulation::valueInTime)).isAtLeast(-0.03);
	}

	/** Guards against capacity that is lost with jobs that are left half done. */
	@Test
	void jobsInProgressPrecedeNewOnes() {
		configure(1, 1);
		addRunner("r1");
		submit("started", 0, NOW_MILLIS, BatchFixtures.step(6));
		apply(new BatchCommand.AssignRuns(plan(OrderRule.VALUE_IN_TIME).assignments()));
		addRunner("r2");
		submit("urgent", 0, NOW_MILLIS - 500, BatchFixtures.step(4));
		Truth.assertThat(jobsPlaced(OrderRule.VALUE_IN_TIME))
			.containsExactly("started", "started", "urgent", "urgent")
			.inOrder();
	}

	/** Guards against queues whose priority has no meaning in a full pool. */
	@Test
	void aQueueOfHigherPriorityPrecedesOthersInAFullPool() {
		configure(2, 1);
		addRunner("r1");
		submit("low", 1, NOW_MILLIS - 500, BatchFixtures.step(1));
		submit("high", 0, NOW_MILLIS, BatchFixtures.step(4));
		Truth.assertThat(Set.copyOf(jobsPlaced(OrderRule.VALUE_IN_TIME))).containsExactly("high");
	}

	/**
	 * Guards against late jobs that wait for ever behind others without value, and
	 * against late results that lose the rest of their value.
	 */
	@Test
	void lateJobsThatStillEarnPrecedeTheOthersInTheOrderOfArrival() {
		configure(1, 1);
		addRunner("r1");
		submit("worthless", 0, NOW_MILLIS - 60_000, BatchFixtures.step(1));
		submit("worthless-oldest", 0, NOW_MILLIS - 70_000, BatchFixtures.step(1));
		submit("late", 0, NOW_MILLIS - 2_000, BatchFixtures.step(2));
		submit("worthless-newest", 0, NOW_MILLIS - 50_000, BatchFixtures.step(2));
		Truth.assertThat(jobsPlaced(OrderRule.VALUE_IN_TIME))
			.containsExactly("late", "late", "worthless-oldest", "worthless")
			.inOrder();
	}

	/**
	 * Guards against a large job that is started although no other job can be in time
	 * beside it.
	 */
	@Test
	void theJobThatNeedsTheMostCapacityForItsValueIsDeferred() {
		configure(1, 1);
		addRunner("r1");
		submit("large", 0, NOW_MILLIS - 300, BatchFixtures.step(40));
		for (int number = 0; number < 4; number++) {
			submit("small" + number, 0, NOW_MILLIS, BatchFixtures.step(1));
		}
		Truth.assertThat(jobsPlaced(OrderRule.LEAST_SLACK)).containsExactly("large", "large", "large", "large");
		Truth.assertThat(jobsPlaced(OrderRule.VALUE_IN_TIME)).containsExactly("small0", "small1", "small2", "small3");
	}

	private static Comparison compare(String name, OverloadSimulation.Load load) {
		Comparison comparison = new Comparison(run(load, OrderRule.LEAST_SLACK), run(load, OrderRule.VALUE_IN_TIME));
		comparison.print(name);
		return comparison;
	}

	private static List<OverloadSimulation> run(OverloadSimulation.Load load, OrderRule rule) {
		return IntStream.range(0, SEEDS).mapToObj((seed) -> new OverloadSimulation(load, rule, seed).run()).toList();
	}

	private List<String> jobsPlaced(OrderRule rule) {
		return plan(rule).assignments().stream().map((assignment) -> assignment.task().job()).toList();
	}

	private Plan plan(OrderRule rule) {
		return new TaskPlanner(new DurationEstimator(), 1_700, rule).plan(this.state, this.runners, Set.of(),
				(runner) -> RunnerReliability.SOUND, NOW_MILLIS);
	}

	private void configure(int queueCount, int poolCount) {
		List<BatchQueue> queues = new ArrayList<>();
		List<BatchPool> pools = new ArrayList<>();
		for (int number = 0; number < 3; number++) {
			queues.add(new BatchQueue("queue" + number, "host", "/queue" + number + "/", false,
					"pool" + number % poolCount, number % queueCount, 2, 3_000, 600, 1.6));
		}
		for (int number = 0; number < poolCount; number++) {
			pools.add(new BatchPool("pool" + number, false, false));
		}
		apply(new BatchCommand.SetConfiguration(new FleetConfiguration(1, queues, pools,
				List.of(new Workspace("team", Set.of("key"), 1, Resources.NONE)), Payload.EMPTY)));
	}

	private void addRunner(String id) {
		RunnerRecord runner = BatchFixtures.runner(id, "pool" + this.runners.size() % poolCount(), 1);
		this.runners.add(runner);
		apply(BatchFixtures.register(runner));
	}

	private int poolCount() {
		return this.state.configuration().get().pools().size();
	}

	private void submit(String id, int queue, long acceptedMillis, StepSpec step) {
		this.state.apply(new CommandGroup(acceptedMillis,
				List.of(BatchFixtures.submit(id, "queue" + queue, "team", BatchFixtures.job(step)))));
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(NOW_MILLIS, List.of(command)));
	}

	/** The same loads with both rules. */
	private record Comparison(List<OverloadSimulation> leastSlack, List<OverloadSimulation> valueInTime) {

		private double gain(ToDoubleFunction<OverloadSimulation> figure) {
			return mean(this.valueInTime, figure) - mean(this.leastSlack, figure);
		}

		private void assertNobodyStarves() {
			Truth.assertThat(gain((run) -> run.jobsInTimeBySize(0.9, 1))).isAtLeast(0.0);
			Truth.assertThat(gain((run) -> run.jobsInTimeBySize(0.7, 0.9))).isAtLeast(0.0);
			Truth.assertThat(gain((run) -> run.jobsInTime((job) -> job.queue() == 0))).isAtLeast(0.0);
			Truth.assertThat(gain((run) -> run.jobsInTime((job) -> job.queue() == 1))).isAtLeast(0.0);
			this.valueInTime.forEach((run) -> Truth.assertThat(run.completedCount()).isEqualTo(run.jobCount()));
		}

		private void print(String name) {
			print(name, "least slack", this.leastSlack);
			print(name, "value in time", this.valueInTime);
		}

		private static void print(String name, String rule, List<OverloadSimulation> runs) {
			System.out.printf(Locale.ROOT,
					"%s, %s, %d seeds: in time %.3f by value, %.3f of jobs (smallest 0.7: %.3f, next 0.2: %.3f, "
							+ "largest 0.1: %.3f; queues %.3f and %.3f)%n",
					name, rule, runs.size(), mean(runs, OverloadSimulation::valueInTime),
					mean(runs, OverloadSimulation::jobsInTime), mean(runs, (run) -> run.jobsInTimeBySize(0, 0.7)),
					mean(runs, (run) -> run.jobsInTimeBySize(0.7, 0.9)),
					mean(runs, (run) -> run.jobsInTimeBySize(0.9, 1)),
					mean(runs, (run) -> run.jobsInTime((job) -> job.queue() == 0)),
					mean(runs, (run) -> run.jobsInTime((job) -> job.queue() == 1)));
		}

		private static double mean(List<OverloadSimulation> runs, ToDoubleFunction<OverloadSimulation> figure) {
			return runs.stream().mapToDouble(figure).average().orElseThrow();
		}

	}

}
