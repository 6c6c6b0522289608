package io.burdockpin.core.limit;

import java.util.List;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against shares that exceed the capacity or leave demand unserved. */
class MaxMinSharesTests {

	@Property(tries = 300, seed = "8003")
	void sharesNeitherExceedTheCapacityNorTheDemandNorLeaveDemandUnserved(@ForAll @IntRange(max = 200) int capacity,
			@ForAll @Size(max = 9) List<@IntRange(max = 60) Integer> demands) {
		int[] shares = MaxMinShares.divide(capacity,
				demands.stream().map((demand) -> new MaxMinShares.Claim(demand, 1)).toList());
		int totalDemand = demands.stream().mapToInt(Integer::intValue).sum();
		Truth.assertThat(MaxMinShares.sum(shares)).isEqualTo(Math.min(capacity, totalDemand));
		for (int position = 0; position < shares.length; position++) {
			Truth.assertThat(shares[position]).isAtMost(demands.get(position));
			for (int other = 0; other < shares.length; other++) {
				boolean unsatisfied = shares[position] < demands.get(position);
				Truth.assertThat(unsatisfied && shares[other] > shares[position] + 1).isFalse();
			}
		}
	}

}
