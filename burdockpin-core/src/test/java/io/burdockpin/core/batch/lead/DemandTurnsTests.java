package io.burdockpin.core.batch.lead;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/**
 * Load: the demand peaks of four queues take turns, each of five times the mean of the
 * queue, after 19 s without traffic. {@link DemandTurnsReport} prints the figures.
 */
class DemandTurnsTests {

	/** Guards against peaks that recur and are yet served only once they have begun. */
	@Test
	void peaksThatTakeTurnsOfTwoSecondsMeetTheirObjectives() {
		DemandPeakSimulation fleet = DemandTurnsReport.run(DemandTurnsReport.loads().get("periodic-2s"), 1);
		Truth.assertThat(fleet.onTimeShare()).isAtLeast(0.88);
		Truth.assertThat(units(fleet)).isAtMost(285);
	}

	/** Guards against pools that hold hosts which no task uses. */
	@Test
	void peaksThatTakeTurnsOfFourSecondsMeetTheirObjectives() {
		DemandPeakSimulation fleet = DemandTurnsReport.run(DemandTurnsReport.loads().get("periodic-4s"), 1);
		Truth.assertThat(fleet.onTimeShare()).isAtLeast(0.85);
		Truth.assertThat(units(fleet)).isAtMost(290);
	}

	/** Guards against a forecast that harms demand without a period. */
	@Test
	void peaksWithoutAPeriodMeetTheirObjectives() {
		DemandPeakSimulation fleet = DemandTurnsReport.run(DemandTurnsReport.loads().get("irregular"), 1);
		Truth.assertThat(fleet.onTimeShare()).isAtLeast(0.88);
		Truth.assertThat(units(fleet)).isAtMost(275);
	}

	/** Guards against hosts that stay in a pool for a peak that fails to come. */
	@Test
	void aPeakThatFailsToComeCostsLittle() {
		DemandPeakSimulation fleet = DemandTurnsReport.run(DemandTurnsReport.loads().get("missing-4s"), 1);
		Truth.assertThat(fleet.onTimeShare()).isAtLeast(0.85);
		Truth.assertThat(units(fleet)).isAtMost(290);
	}

	private static double units(DemandPeakSimulation fleet) {
		return KnownDemandPlan.units(fleet.hostSeconds(), fleet.moves());
	}

}
