package io.burdockpin.core.limit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Divides one team's limit between the holders that can be reached and the jobs.
 * Immutable.
 *
 * @param limit the upper limit
 * @param baseCount the part of each holder that is owned until returned
 * @param fixedCount tokens that cannot move now, of silent and ended holders
 * @param jobsHolding jobs that hold capacity
 * @param jobsWaiting jobs that wait for placement
 */
record TeamLimitDivision(int limit, int baseCount, int fixedCount, int jobsHolding, int jobsWaiting) {

	/**
	 * Divides the limit by demand; what is left tops holders up to their basic part.
	 * @param demands demand of each reachable holder
	 * @return the share of each holder
	 */
	int[] shares(List<Integer> demands) {
		int capacity = Math.max(0, this.limit - this.fixedCount - reservedForJobs(demands));
		int[] shares = MaxMinShares.divide(capacity, claims(demands));
		int[] lacking = new int[shares.length];
		for (int position = 0; position < shares.length; position++) {
			lacking[position] = Math.max(0, this.baseCount - shares[position]);
		}
		int[] idle = MaxMinShares.divide(capacity - MaxMinShares.sum(shares), claims(boxed(lacking)));
		for (int position = 0; position < shares.length; position++) {
			shares[position] += idle[position];
		}
		return shares;
	}

	/**
	 * Returns what may be granted now on top of the present counts.
	 * @param presentCount all present tokens, fixed ones included
	 * @param demands demand of each reachable holder
	 * @return the free part of the limit, negative if more is in use than the limit
	 */
	int freeCount(int presentCount, List<Integer> demands) {
		return this.limit - presentCount - reservedForJobs(demands);
	}

	// Running jobs keep what they have; waiting ones get a fair part beside the holders.
	private int reservedForJobs(List<Integer> demands) {
		List<MaxMinShares.Claim> claims = new ArrayList<>(claims(demands));
		claims.add(new MaxMinShares.Claim(this.jobsHolding + this.jobsWaiting, 1));
		int capacity = Math.max(0, this.limit - this.fixedCount);
		return Math.max(this.jobsHolding, MaxMinShares.divide(capacity, claims)[demands.size()]);
	}

	private static List<MaxMinShares.Claim> claims(List<Integer> demands) {
		return demands.stream().map((demand) -> new MaxMinShares.Claim(demand, 1)).toList();
	}

	private static List<Integer> boxed(int[] values) {
		return Arrays.stream(values).boxed().toList();
	}

}
