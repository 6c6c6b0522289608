package io.burdockpin.benchmark.capacity;

import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Guards against a benchmark that passes although a decision became too costly. */
class CostGrowthTests {

	@Test
	void aCostThatGrowsAsFastAsTheSizeIsWithinTheBound() {
		Truth.assertThat(growth(2, 36).isWithinBound()).isTrue();
	}

	@Test
	void aCostThatGrowsFasterThanTheSizeIsNot() {
		Truth.assertThat(growth(2, 37).isWithinBound()).isFalse();
	}

	private static CostGrowth growth(double smallest, double largest) {
		return CostGrowth
			.between(List.of(new Measurement("route", "today", smallest, "us")),
					List.of(new Measurement("route", "in two years", largest, "us")), 18)
			.get(0);
	}

}
