package io.burdockpin.core.batch.lead;

import java.util.Random;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/**
 * Guards against work that waits for ever. Each test disturbs a fleet, lets it recover
 * and then requires that nothing is overdue and that no invariant was violated.
 */
class FleetProgressTests {

	private static final int SEEDS = 60;

	private static final int RUNNERS = 4;

	private static final int MAXIMUM_ATTEMPTS = 20;

	/** Longer than all leases and timeouts together. */
	private static final int RECOVERY_MILLIS = 40_000;

	/**
	 * Guards against tasks that are assigned to an incarnation of a runner that has just
	 * been replaced, and are then neither ordered nor released.
	 */
	@Test
	void jobsAreCompletedAlthoughTheirRunnersRestartWhileTasksAreAssigned() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, SimulatedFleet.Faults.NONE);
			Random random = new Random(seed + 1_000L);
			for (int round = 0; round < 40; round++) {
				fleet.submit("job" + round, 1, 1 + random.nextInt(4), random.nextInt(4) == 0);
				fleet.run(random.nextInt(120));
				fleet.crash(randomRunner(random), 1 + random.nextInt(60));
				fleet.run(100 + random.nextInt(200));
			}
			requireRecovery(fleet, seed);
		}
	}

	private static SimulatedFleet fleet(int seed, SimulatedFleet.Faults faults) {
		SimulatedFleet fleet = new SimulatedFleet(new Random(seed), faults, RUNNERS, MAXIMUM_ATTEMPTS);
		fleet.run(1_000);
		return fleet;
	}

	private static String randomRunner(Random random) {
		return "r" + random.nextInt(RUNNERS);
	}

	private static void requireRecovery(SimulatedFleet fleet, int seed) {
		fleet.run(RECOVERY_MILLIS);
		Truth.assertWithMessage("overdue, seed %s", seed).that(fleet.overdue()).isEmpty();
		Truth.assertWithMessage("violations, seed %s", seed).that(fleet.violations()).isEmpty();
	}

}
