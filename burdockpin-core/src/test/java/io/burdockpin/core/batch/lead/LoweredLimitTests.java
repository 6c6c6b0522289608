package io.burdockpin.core.batch.lead;

import java.util.Random;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/**
 * Guards against starts that were permitted when they were decided and are sent after the
 * upper limit of their workspace was lowered.
 */
class LoweredLimitTests {

	private static final int SEEDS = 20;

	private static final int TASK_MILLICORES = 1_500;

	private static final int TASK_MEBIBYTES = 1_000;

	private static final Resources LIMIT = new Resources(20_000, 0, 0);

	/** Occurs when a runner is cut off while a task is being started on it. */
	@Test
	void aStartWithoutAnAnswerIsNotRepeatedAboveTheLimit() {
		lowerWhileARunnerIsCutOff(new Resources(TASK_MILLICORES, 0, 0), SimulatedFleet.Faults.NONE, false);
	}

	@Test
	void aStartIsNotRepeatedAboveTheLimitOfMemory() {
		lowerWhileARunnerIsCutOff(new Resources(0, TASK_MEBIBYTES, 0), SimulatedFleet.Faults.NONE, false);
	}

	/** Occurs when a leader that does not know what was ordered inherits the runs. */
	@Test
	void aNewLeaderDoesNotRepeatAStartAboveTheLimit() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(new Random(seed), SimulatedFleet.Faults.NONE, 3, 20);
			fleet.run(1_000);
			fleet.cutOff("r1", 4_500);
			fleet.submit("job", 1, 6, false);
			fleet.run(20 + 5 * seed);
			fleet.changeLeader();
			fleet.setLimit(new Resources(TASK_MILLICORES, 0, 0));
			recoverWithLimit(fleet, seed);
		}
	}

	/** Occurs when starts are lost, late or wait for the answer to an earlier one. */
	@Test
	void startsThatWaitOrAreLateAreNotSentAboveTheLimit() {
		lowerWhileARunnerIsCutOff(new Resources(TASK_MILLICORES, 0, 0), new SimulatedFleet.Faults(0.2, 0.2), false);
	}

	/** Guards against members of a gang that wait for one whose start was revoked. */
	@Test
	void aGangOfWhichOneStartIsRevokedIsStoppedAsAWhole() {
		lowerWhileARunnerIsCutOff(new Resources(TASK_MILLICORES, 0, 0), SimulatedFleet.Faults.NONE, true);
	}

	/** Guards against starts that are revoked although the limit is not exceeded. */
	@Test
	void aLowerLimitThatIsNotExceededRevokesNoStart() {
		SimulatedFleet fleet = new SimulatedFleet(new Random(1), SimulatedFleet.Faults.NONE, 3, 20);
		fleet.run(1_000);
		fleet.submit("job", 1, 4, false);
		fleet.run(20);
		fleet.setLimit(new Resources(4 * TASK_MILLICORES, 0, 0));
		fleet.run(20_000);
		Truth.assertThat(fleet.phase("job")).hasValue(BatchJobPhase.COMPLETED);
		Truth.assertThat(fleet.releaseCount()).isEqualTo(0);
	}

	// helpers

	private static void lowerWhileARunnerIsCutOff(Resources lowered, SimulatedFleet.Faults faults, boolean gang) {
		for (int seed = 0; seed < SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(new Random(seed), faults, 3, 20);
			fleet.run(1_000);
			fleet.cutOff("r1", 4_500);
			fleet.submit("job", 1, 6, gang);
			fleet.run(20 + 5 * seed);
			fleet.setLimit(lowered);
			recoverWithLimit(fleet, seed);
		}
	}

	private static void recoverWithLimit(SimulatedFleet fleet, int seed) {
		fleet.run(10_000);
		Truth.assertWithMessage("seed %s", seed).that(fleet.violations()).isEmpty();
		fleet.setLimit(LIMIT);
		fleet.recover(40_000);
		Truth.assertWithMessage("seed %s", seed).that(fleet.violations()).isEmpty();
		Truth.assertWithMessage("seed %s", seed).that(fleet.overdue()).isEmpty();
		Truth.assertWithMessage("seed %s", seed).that(fleet.phase("job")).hasValue(BatchJobPhase.COMPLETED);
	}

}
