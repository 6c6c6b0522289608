package io.burdockpin.core.batch.lead;

import java.util.Optional;
import java.util.Random;
import java.util.Set;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
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

	/**
	 * Guards against ends that are never acknowledged. Occurs when tasks end behind a
	 * partition that outlasts a lease, and are started again elsewhere.
	 */
	@Test
	void endsAreAcknowledgedAfterPartitionsThatOutlastALease() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, SimulatedFleet.Faults.NONE);
			disturbByPartitions(fleet, new Random(seed + 2_000L), 0);
			requireRecovery(fleet, seed);
		}
	}

	/**
	 * The same with changes of leader: the new leader has not seen that the lease
	 * expired.
	 */
	@Test
	void endsAreAcknowledgedAfterPartitionsAndChangesOfLeader() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, new SimulatedFleet.Faults(0.05, 0.1));
			disturbByPartitions(fleet, new Random(seed + 3_000L), 0.3);
			requireRecovery(fleet, seed);
		}
	}

	/**
	 * Guards against runners that are never contacted, because announcements of other
	 * writers take all places for first contacts or are contacted for ever.
	 */
	@Test
	void runnersAreUsedAlthoughOthersAnnounceRunnersThatDoNotExist() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, SimulatedFleet.Faults.NONE);
			Random random = new Random(seed + 4_000L);
			for (int number = 0; number < 12; number++) {
				String pool = random.nextBoolean() ? fleet.announcementOf("r0").pool() : "unknown";
				fleet.announceForeign(foreignEntry(fleet, number, Optional.empty(), pool));
				fleet.run(random.nextInt(300));
			}
			for (int number = 0; number < RUNNERS; number++) {
				fleet.crash("r" + number, 100);
			}
			fleet.run(500);
			fleet.submit("job", 2, 6, false);
			fleet.run(20_000);
			Truth.assertWithMessage("seed %s", seed).that(fleet.phase("job")).hasValue(BatchJobPhase.COMPLETED);
			requireRecovery(fleet, seed);
		}
	}

	/**
	 * Guards against tasks that are started a second time while they run, because an
	 * announcement of another writer names the host of their runner.
	 */
	@Test
	void anEntryOfAnUnknownPoolDoesNotReplaceTheRunnerOnItsHost() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, SimulatedFleet.Faults.NONE);
			Random random = new Random(seed + 5_000L);
			fleet.submit("job", 3, 12, false);
			for (int number = 0; number < 8; number++) {
				RunnerRecord victim = fleet.announcementOf(randomRunner(random));
				fleet.announceForeign(foreignEntry(fleet, number, victim.host(), "unknown"));
				fleet.run(random.nextInt(300));
			}
			requireRecovery(fleet, seed);
			Truth.assertWithMessage("seed %s", seed).that(fleet.releaseCount()).isEqualTo(0);
		}
	}

	/**
	 * Guards against a runner that gets no tasks any more, because the departure of its
	 * earlier incarnation arrives after its restart under the same identifier.
	 */
	@Test
	void aRunnerIsUsedAlthoughTheDepartureOfItsEarlierIncarnationArrivesLate() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, SimulatedFleet.Faults.NONE);
			fleet.crash("r0", 100);
			fleet.run(300 + 10 * seed);
			fleet.deliverLateDeparture("r0");
			requireRecovery(fleet, seed);
		}
	}

	/**
	 * Guards against a long-running job that is not started again after the loss of its
	 * only host, because it counts as a new job and does not fit into the long-running
	 * share of the smaller pool.
	 */
	@Test
	void longRunningJobsAreStartedAgainAfterTheirOnlyRunnerIsLost() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(new Random(seed), new SimulatedFleet.Faults(0.02, 0.02), 3,
					MAXIMUM_ATTEMPTS);
			fleet.run(1_000);
			fleet.submitLongRunning("service1", 5);
			fleet.submitLongRunning("service2", 5);
			fleet.run(5_000);
			fleet.lose(fleet.state().runs().runners().iterator().next().id());
			requireRecovery(fleet, seed);
		}
	}

	private static RunnerRecord foreignEntry(SimulatedFleet fleet, int number, Optional<String> host, String pool) {
		return new RunnerRecord(new RunnerKey("foreign" + number, fleet.nowMillis()), host, pool, "127.0.0.1:1", "dc1",
				Optional.empty(), SimulatedRunner.CAPACITY, Set.of(), false);
	}

	private static void disturbByPartitions(SimulatedFleet fleet, Random random, double leaderChangeShare) {
		for (int round = 0; round < 30; round++) {
			fleet.submit("job" + round, 1 + random.nextInt(2), 1 + random.nextInt(8), random.nextInt(4) == 0);
			fleet.run(random.nextInt(600));
			if (round % 5 == 0) {
				fleet.cutOff(randomRunner(random), 4_000 + random.nextInt(5_000));
			}
			if (random.nextDouble() < leaderChangeShare) {
				fleet.changeLeader();
			}
			fleet.run(random.nextInt(1_500));
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
		fleet.recover(RECOVERY_MILLIS);
		Truth.assertWithMessage("overdue, seed %s", seed).that(fleet.overdue()).isEmpty();
		Truth.assertWithMessage("reported, seed %s", seed).that(fleet.reportedOverdue()).isEmpty();
		Truth.assertWithMessage("violations, seed %s", seed).that(fleet.violations()).isEmpty();
	}

}
