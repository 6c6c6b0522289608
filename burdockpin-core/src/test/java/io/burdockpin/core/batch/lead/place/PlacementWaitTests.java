package io.burdockpin.core.batch.lead.place;

import java.util.OptionalDouble;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Load: a task that could start far from its data while the rack of its data is full. */
class PlacementWaitTests {

	private static final long NOW_MILLIS = 1_000_000;

	private static final long DURATION_MILLIS = 1_000;

	@Test
	void aTaskWaitsWhileTheNearPlaceIsExpectedBeforeTheWaitHasCostWhatItSaves() {
		Truth.assertThat(decide(1.5, situation(5_000, false, 499)).reason()).isEqualTo(PlacementReason.WAITS);
		Truth.assertThat(decide(1.5, situation(5_000, false, 499)).untilMillis()).isEqualTo(NOW_MILLIS + 500);
		Truth.assertThat(decide(1.5, situation(5_000, false, 501)).reason())
			.isEqualTo(PlacementReason.NEAR_PLACE_TOO_LATE);
		Truth.assertThat(decide(3, situation(5_000, false, 1_999)).reason()).isEqualTo(PlacementReason.WAITS);
	}

	/**
	 * Guards against deployments that change although they name no cost of a remote task.
	 */
	@Test
	void nothingWaitsWithoutAFactorOrWithAFactorOfOne() {
		Truth.assertThat(decide(1, situation(5_000, false, 1)).reason()).isEqualTo(PlacementReason.FACTOR_UNKNOWN);
		PlacementWait unknown = new PlacementWait(OptionalDouble.empty());
		Truth.assertThat(unknown.decide(situation(5_000, false, 1)).reason()).isEqualTo(PlacementReason.FACTOR_UNKNOWN);
	}

	/** Guards against a job that is in time far from its data and late as it waited. */
	@Test
	void aJobThatWouldBeInTimeFarFromItsDataWaitsNoLongerThanItsSlack() {
		Truth.assertThat(decide(1.5, situation(700, true, 650)).reason()).isEqualTo(PlacementReason.WAITS);
		Truth.assertThat(decide(1.5, situation(700, true, 701)).reason())
			.isEqualTo(PlacementReason.NEAR_PLACE_TOO_LATE);
	}

	/** Guards against remote tasks of late jobs, which make other jobs late. */
	@Test
	void aJobThatWouldBeLateFarFromItsDataWaitsBeyondItsSlackButNotForEver() {
		Truth.assertThat(decide(3, situation(300, false, 1_900)).untilMillis()).isEqualTo(NOW_MILLIS + 2_000);
		Truth.assertThat(decide(3, situation(-500, true, 19_000)).untilMillis()).isEqualTo(NOW_MILLIS + 20_000);
		Truth.assertThat(decide(3, situation(-500, true, 20_001)).reason())
			.isEqualTo(PlacementReason.NEAR_PLACE_TOO_LATE);
	}

	@Test
	void inAFullPoolTheTimeThatOthersGetCountsAsWell() {
		Truth.assertThat(decide(1.5, situation(5_000, true, 999)).reason()).isEqualTo(PlacementReason.WAITS);
		Truth.assertThat(decide(1.5, situation(5_000, true, 1_001)).reason())
			.isEqualTo(PlacementReason.NEAR_PLACE_TOO_LATE);
	}

	@Test
	void nothingWaitsIfNoNearPlaceCanBeForeseen() {
		PlacementWait.Situation lost = new PlacementWait.Situation(DURATION_MILLIS, 5_000, false, OptionalLong.empty(),
				NOW_MILLIS, OptionalLong.empty(), NOW_MILLIS);
		Truth.assertThat(decide(3, lost).reason()).isEqualTo(PlacementReason.NO_NEAR_PLACE);
	}

	/** Guards against a wait that is prolonged by each new estimate. */
	@Test
	void theEndOfAWaitDoesNotMove() {
		long endMillis = NOW_MILLIS + 100;
		Truth.assertThat(decide(3, waiting(50, endMillis, NOW_MILLIS)).untilMillis()).isEqualTo(endMillis);
		Truth.assertThat(decide(3, waiting(150, endMillis, NOW_MILLIS)).reason())
			.isEqualTo(PlacementReason.NEAR_PLACE_TOO_LATE);
		Truth.assertThat(decide(3, waiting(0, endMillis, endMillis)).reason()).isEqualTo(PlacementReason.WAIT_ENDED);
	}

	/** Guards against a wait that each change of leader doubles. */
	@Test
	void aWaitUnderAnEarlierLeaderCountsFromWhenTheTaskBecameReady() {
		PlacementWait.Situation inherited = new PlacementWait.Situation(DURATION_MILLIS, 5_000, false,
				OptionalLong.of(NOW_MILLIS + 10), NOW_MILLIS - 400, OptionalLong.empty(), NOW_MILLIS);
		Truth.assertThat(decide(1.5, inherited).untilMillis()).isEqualTo(NOW_MILLIS + 100);
		PlacementWait.Situation over = new PlacementWait.Situation(DURATION_MILLIS, 5_000, false,
				OptionalLong.of(NOW_MILLIS + 10), NOW_MILLIS - 600, OptionalLong.empty(), NOW_MILLIS);
		Truth.assertThat(decide(1.5, over).reason()).isEqualTo(PlacementReason.WAIT_ENDED);
	}

	private static PlacementWait.Decision decide(double factor, PlacementWait.Situation situation) {
		return new PlacementWait(OptionalDouble.of(factor)).decide(situation);
	}

	private static PlacementWait.Situation situation(long slackMillis, boolean full, long freeInMillis) {
		return new PlacementWait.Situation(DURATION_MILLIS, slackMillis, full,
				OptionalLong.of(NOW_MILLIS + freeInMillis), NOW_MILLIS, OptionalLong.empty(), NOW_MILLIS);
	}

	private static PlacementWait.Situation waiting(long freeInMillis, long endMillis, long nowMillis) {
		return new PlacementWait.Situation(DURATION_MILLIS, 5_000, false, OptionalLong.of(nowMillis + freeInMillis),
				nowMillis, OptionalLong.of(endMillis), nowMillis);
	}

}
