package io.burdockpin.core.batch.lead;

import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchTask;
import org.junit.jupiter.api.Test;

/**
 * Guards against starts in a closed data centre, and against work that is lost or waits
 * for ever because of the closing.
 */
class ClosedDataCentreTests {

	private static final int SEEDS = 60;

	private static final int RUNNERS = 4;

	private static final int MAXIMUM_ATTEMPTS = 20;

	/** Longer than all leases and timeouts together. */
	private static final int RECOVERY_MILLIS = 40_000;

	/**
	 * Guards against starts that are sent again, by the same leader or by the next one,
	 * because their answer was lost.
	 */
	@Test
	void nothingStartsAfterTheClosingAlthoughAnswersAreLostAndLeadersChange() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, new SimulatedFleet.Faults(0.15, 0.2), 2);
			Random random = new Random(seed + 1_000L);
			for (int round = 0; round < 6; round++) {
				// One data centre holds ten tasks, and a gang starts as a whole.
				boolean isGang = random.nextInt(4) == 0;
				fleet.submit("job" + round, 1 + random.nextInt(2), 1 + random.nextInt(isGang ? 8 : 12), isGang);
				fleet.run(random.nextInt(400));
				fleet.closeDataCentre("dc0");
				for (int fault = 0; fault < 4; fault++) {
					fleet.run(random.nextInt(2_000));
					switch (random.nextInt(4)) {
						case 0 -> fleet.changeLeader();
						case 1 -> fleet.cutOff("r" + random.nextInt(RUNNERS), random.nextInt(6_000));
						case 2 -> fleet.crash("r" + random.nextInt(RUNNERS), random.nextInt(1_000));
						default -> fleet.submit("job%d.%d".formatted(round, fault), 1, 1 + random.nextInt(6), false);
					}
				}
				fleet.run(random.nextInt(8_000));
				if (random.nextBoolean()) {
					fleet.openDataCentre("dc0");
				}
			}
			requireRecovery(fleet, seed);
			fleet.openDataCentre("dc0");
			requireRecovery(fleet, seed);
		}
	}

	/** Verifies the check itself: starts in a data centre that is open must not count. */
	@Test
	void tasksStartInADataCentreThatWasOpenedAgain() {
		SimulatedFleet fleet = fleet(1, SimulatedFleet.Faults.NONE, 2);
		fleet.closeDataCentre("dc0");
		fleet.submit("job", 1, 20, false);
		fleet.run(400);
		Truth.assertThat(fleet.runningIn("dc0")).isEmpty();
		Truth.assertThat(fleet.runningIn("dc1")).isNotEmpty();
		fleet.openDataCentre("dc0");
		fleet.run(200);
		Truth.assertThat(fleet.runningIn("dc0")).isNotEmpty();
		requireRecovery(fleet, 1);
	}

	@Test
	void runsInProgressContinueAndTheirEndsAreAcknowledged() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, SimulatedFleet.Faults.NONE, 2);
			fleet.submit("job", 1, 12, false);
			fleet.run(150);
			fleet.closeDataCentre("dc0");
			Map<TaskId, Integer> running = fleet.runningIn("dc0");
			Truth.assertWithMessage("seed %s", seed).that(running).isNotEmpty();
			fleet.run(50);
			// A start that was on its way when the data centre was closed may arrive.
			Map<TaskId, Integer> arrived = fleet.runningIn("dc0");
			fleet.run(2_000);
			Truth.assertWithMessage("seed %s", seed).that(fleet.runningIn("dc0")).isEmpty();
			arrived.forEach((task, run) -> fleet.state()
				.task(task)
				.ifPresent((known) -> Truth.assertWithMessage("%s", task)
					.that(known.isDone() || hasFailed(known))
					.isTrue()));
			requireRecovery(fleet, seed);
		}
	}

	private static boolean hasFailed(BatchTask task) {
		return task.failures() > 0;
	}

	/**
	 * Guards against work that is assigned there once more because nothing else is open.
	 */
	@Test
	void newWorkWaitsWhileTheLastOpenDataCentreIsClosed() {
		SimulatedFleet fleet = fleet(2, SimulatedFleet.Faults.NONE, 2);
		fleet.submitLongRunning("service", 2);
		fleet.run(2_000);
		fleet.closeDataCentre("dc0");
		fleet.closeDataCentre("dc1");
		fleet.submit("job", 2, 4, false);
		fleet.run(20_000);
		Truth.assertThat(fleet.phase("job")).hasValue(BatchJobPhase.QUEUED);
		Truth.assertThat(fleet.runningCount()).isEqualTo(2);
		Truth.assertThat(fleet.violations()).isEmpty();
		fleet.openDataCentre("dc1");
		requireRecovery(fleet, 2);
		Truth.assertThat(fleet.phase("job")).hasValue(BatchJobPhase.COMPLETED);
	}

	/** Guards against a gang, or a wait, that needs the closed half of the fleet. */
	@Test
	void workWaitsForRoomWhileAllOtherDataCentresAreFull() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, SimulatedFleet.Faults.NONE, 4);
			fleet.closeDataCentre("dc0");
			fleet.closeDataCentre("dc1");
			fleet.closeDataCentre("dc2");
			fleet.submit("first", 1, 15, false);
			fleet.submit("gang", 1, 5, true);
			fleet.run(300);
			Truth.assertThat(fleet.runningIn("dc3")).isNotEmpty();
			Truth.assertThat(fleet.runningCount()).isEqualTo(fleet.runningIn("dc3").size());
			requireRecovery(fleet, seed);
			Truth.assertThat(fleet.phase("gang")).hasValue(BatchJobPhase.COMPLETED);
		}
	}

	/** Guards against tasks that wait for runners which no leader can reach. */
	@Test
	void theTasksOfAClosedDataCentreThatIsCutOffRunElsewhereOnceTheirLeasesHaveExpired() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, SimulatedFleet.Faults.NONE, 2);
			fleet.submit("job", 2, 10, false);
			fleet.submitLongRunning("service", 2);
			fleet.run(300 + 10 * seed);
			fleet.cutOff("r0", 60_000);
			fleet.cutOff("r2", 60_000);
			fleet.run(new Random(seed).nextInt(300));
			fleet.closeDataCentre("dc0");
			if (seed % 3 == 0) {
				fleet.changeLeader();
			}
			fleet.run(30_000);
			Truth.assertWithMessage("seed %s", seed).that(fleet.phase("job")).hasValue(BatchJobPhase.COMPLETED);
			Truth.assertWithMessage("seed %s", seed).that(fleet.runningIn("dc0")).isEmpty();
			Truth.assertWithMessage("seed %s", seed).that(fleet.violations()).isEmpty();
			requireRecovery(fleet, seed);
		}
	}

	/**
	 * Guards against a service that loses more tasks at a time than its budget, or that
	 * stays in the closed data centre although there is room elsewhere.
	 */
	@Test
	void longRunningTasksMoveWithinTheBudgetOfTheirStep() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, SimulatedFleet.Faults.NONE, 2);
			fleet.closeDataCentre("dc1");
			fleet.submitLongRunning("service", 4);
			fleet.run(2_000);
			Truth.assertWithMessage("seed %s", seed).that(fleet.runningIn("dc0")).hasSize(4);
			fleet.openDataCentre("dc1");
			fleet.run(500);
			fleet.closeDataCentre("dc0");
			for (int step = 0; step < 1_500; step++) {
				fleet.run(10);
				Truth.assertWithMessage("seed %s", seed).that(fleet.runningCount()).isAtLeast(3);
			}
			Truth.assertWithMessage("seed %s", seed).that(fleet.runningIn("dc0")).isEmpty();
			Truth.assertWithMessage("seed %s", seed)
				.that(fleet.runningIn("dc1").keySet().stream().map(TaskId::index).collect(Collectors.toSet()))
				.hasSize(4);
			Truth.assertWithMessage("seed %s", seed).that(fleet.violations()).isEmpty();
		}
	}

	private static SimulatedFleet fleet(int seed, SimulatedFleet.Faults faults, int dataCentres) {
		SimulatedFleet fleet = new SimulatedFleet(new Random(seed), faults, RUNNERS, MAXIMUM_ATTEMPTS);
		fleet.placeInDataCentres(dataCentres);
		fleet.run(1_000);
		return fleet;
	}

	private static void requireRecovery(SimulatedFleet fleet, int seed) {
		fleet.recover(RECOVERY_MILLIS);
		Truth.assertWithMessage("seed %s", seed).that(fleet.violations()).isEmpty();
		Truth.assertWithMessage("seed %s", seed).that(fleet.overdue()).isEmpty();
		Truth.assertWithMessage("seed %s", seed).that(fleet.reportedOverdue()).isEmpty();
	}

}
