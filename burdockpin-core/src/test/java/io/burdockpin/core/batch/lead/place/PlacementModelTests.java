package io.burdockpin.core.batch.lead.place;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.EnumMap;
import java.util.Map;
import java.util.Random;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/**
 * Compares the decision about waits with always starting at once and with always waiting,
 * over random pools. Loads: evenly used racks, one hot rack, a full and a nearly empty
 * pool, a rack that is lost, and factors of 1, 1.5 and 3.
 */
class PlacementModelTests {

	/** The decision may lose this share of the jobs to a fixed policy. */
	private static final double TOLERANCE = 0.03;

	private static final int SEEDS = 3;

	private static final int LOAD_MILLIS = 12_000;

	private static final int DRAIN_MILLIS = 6_000;

	private static final int ARRIVAL_PERIOD_MILLIS = 100;

	private static final int RACKS = 6;

	@Test
	void noFixedPolicyServesMoreJobsInTimeWhileTheRacksAreUsedEvenly() {
		compare("even", 0.7, 0, false);
	}

	@Test
	void noFixedPolicyServesMoreJobsInTimeWhileManyJobsWantTheSameRack() {
		compare("one hot rack", 0.6, 0.5, false);
	}

	@Test
	void noFixedPolicyServesMoreJobsInTimeInAFullPool() {
		compare("full", 1.0, 0.2, false);
	}

	@Test
	void noFixedPolicyServesMoreJobsInTimeInANearlyEmptyPool() {
		compare("nearly empty", 0.2, 0.2, false);
	}

	@Test
	void noFixedPolicyServesMoreJobsInTimeAfterARackWasLost() {
		compare("rack lost", 0.6, 0.2, true);
	}

	/**
	 * Load: 770 runners and 5,000 waiting tasks whose data is on one rack. Prints the
	 * processor time of a round, which must stay below 100 ms.
	 */
	@Test
	void aRoundOfAFullFleetWithOneHotRackPlansAsMuchAsOneRoundMay() {
		PlacementModel pool = new PlacementModel(1.5, PlacementModel.Policy.DECIDE, 1);
		for (int rack = 0; rack < 64; rack++) {
			pool.addRack("rack" + rack, 12, new Resources(16_000, 65_536, 0));
		}
		for (int job = 0; job < 30; job++) {
			pool.submit("first" + job, pool.step(8, 3_100, 1_000, "rack0", false));
		}
		pool.round();
		for (int job = 0; job < 625; job++) {
			pool.submit("job" + job, pool.step(8, 3_100, 1_000, "rack0", false));
		}
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		int assigned = 0;
		for (int round = 0; round < 20; round++) {
			long beforeNanos = threads.getCurrentThreadCpuTime();
			assigned = pool.plan().assignments().size();
			System.out.printf("round %d: %d assignments, %.1f ms of processor time%n", round, assigned,
					(threads.getCurrentThreadCpuTime() - beforeNanos) / 1e6);
		}
		Truth.assertThat(assigned).isAtLeast(512);
	}

	private static void compare(String load, double utilization, double hotShare, boolean losesRack) {
		for (double factor : new double[] { 1, 1.5, 3 }) {
			Map<PlacementModel.Policy, Double> shares = new EnumMap<>(PlacementModel.Policy.class);
			for (PlacementModel.Policy policy : PlacementModel.Policy.values()) {
				double sum = 0;
				for (int seed = 1; seed <= SEEDS; seed++) {
					sum += inTimeShare(policy, factor, utilization, hotShare, losesRack, seed);
				}
				shares.put(policy, sum / SEEDS);
			}
			System.out.printf("%s, factor %.1f: jobs in time %s%n", load, factor, shares);
			double decided = shares.get(PlacementModel.Policy.DECIDE);
			Truth.assertWithMessage("%s, factor %s", load, factor)
				.that(decided)
				.isAtLeast(shares.get(PlacementModel.Policy.START_AT_ONCE) - TOLERANCE);
			Truth.assertWithMessage("%s, factor %s", load, factor)
				.that(decided)
				.isAtLeast(shares.get(PlacementModel.Policy.ALWAYS_WAIT) - TOLERANCE);
		}
	}

	private static double inTimeShare(PlacementModel.Policy policy, double factor, double utilization, double hotShare,
			boolean losesRack, long seed) {
		PlacementModel pool = new PlacementModel(factor, policy, seed);
		Random random = new Random(seed);
		int hosts = 3 + random.nextInt(4);
		for (int rack = 0; rack < RACKS; rack++) {
			pool.addRack("rack" + rack, hosts, new Resources(16_000, 65_536, 0));
		}
		double coreMillisPerJob = 8 * 3.1 * 1_000 * 1.6;
		double jobsPerPeriod = utilization * RACKS * hosts * 16 * ARRIVAL_PERIOD_MILLIS / coreMillisPerJob;
		int number = 0;
		for (int millis = 0; millis < LOAD_MILLIS; millis += ARRIVAL_PERIOD_MILLIS) {
			for (double due = jobsPerPeriod; due > 0 && random.nextDouble() < due; due--) {
				submit(pool, "job" + number, random, hotShare);
				number++;
			}
			if (losesRack && millis == LOAD_MILLIS / 2) {
				pool.loseRack("rack0");
			}
			pool.run(ARRIVAL_PERIOD_MILLIS);
		}
		pool.run(DRAIN_MILLIS);
		return pool.inTimeShare();
	}

	// Three tasks in a hundred take seven times as long.
	private static void submit(PlacementModel pool, String id, Random random, double hotShare) {
		String rack = "rack" + ((random.nextDouble() < hotShare) ? 0 : random.nextInt(RACKS));
		int steps = (random.nextDouble() < 0.6) ? 2 : 1;
		StepSpec[] specs = new StepSpec[steps];
		for (int step = 0; step < steps; step++) {
			specs[step] = (step == 0) ? pool.step(8, 3_100, 1_000, rack, false)
					: pool.step(8, 3_100, 1_000, rack, false, 0);
			for (int index = 0; index < 8; index++) {
				double times = (random.nextDouble() < 0.03) ? 7 : 0.7 + 0.6 * random.nextDouble();
				pool.setSlowness(new TaskId(id, 0, step, index), times);
			}
		}
		pool.submit(id, specs);
	}

}
