package io.burdockpin.core.model;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

class ResourcesTests {

	/** Guards against rejecting the total resources of a large fleet as out of range. */
	@Test
	void theLimitsOfAFleetOfAThousandHostsAreInRange() {
		Resources limit = new Resources(2 * 1_000 * 128_000, 2 * 1_000 * 256 * 1024, 16_000);
		Truth.assertThat(new Resources(64_000, 256 * 1024, 8).fitsIn(limit)).isTrue();
	}

	/**
	 * Guards against a sum that throws or overflows to a negative amount. All control
	 * members compute the same sum, so all of them would stop.
	 */
	@Test
	void sumsStopAtTheLargestAmount() {
		Resources large = new Resources(1_000_000_000, 1_000_000_000, 1_000_000_000);
		Resources sum = large.plus(large);
		Truth.assertThat(large.fitsIn(sum)).isTrue();
		Truth.assertThat(sum.plus(large)).isEqualTo(sum);
		Truth.assertThat(sum.minus(sum)).isEqualTo(Resources.NONE);
	}

	@Test
	void aProductIsLimitedToTheMaximum() {
		Resources amount = new Resources(1_000_000, 3, 0);
		Truth.assertThat(amount.times(3)).isEqualTo(new Resources(3_000_000, 9, 0));
		Truth.assertThat(amount.times(10_000)).isEqualTo(new Resources((1 << 30) - 1, 30_000, 0));
		Truth.assertThat(amount.times(0)).isEqualTo(Resources.NONE);
	}

	@Test
	void theLargestAmountIsTakenInEachDimension() {
		Truth.assertThat(new Resources(1, 20, 3).largestOf(new Resources(10, 2, 3)))
			.isEqualTo(new Resources(10, 20, 3));
	}

}
