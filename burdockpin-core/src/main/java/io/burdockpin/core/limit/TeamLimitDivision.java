package io.burdockpin.core.limit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Divides the upper limit of one team between the reachable holders and the jobs.
 * Immutable.
 *
 * @param limit the upper limit
 * @param baseCount base share of each holder, which it owns until it returns the tokens
 * @param fixedCount tokens that cannot be moved now because their holders have ended or
 * send no reports
 * @param jobsHolding number of jobs that hold capacity
 * @param jobsWaiting number of jobs that wait for placement
 */
record TeamLimitDivision(int limit, int baseCount, int fixedCount, int jobsHolding, int jobsWaiting) {

	/**
	 * Divides the limit by demand. The remainder raises the shares of the holders up to
	 * the base share.
	 * @param demands demand of each reachable holder
	 * @return the share of each holder, in the order of the demands
	 */
	int[] shares(List<Integer> demands) {
		int capacity = Math.max(0, this.limit - this.fixedCount - reservedForJobs(demands));
		int[] shares = MaxMinShares.divide(capacity, claims(demands));
		int[] deficits = new int[shares.length];
		for (int position = 0; position < shares.length; position++) {
			deficits[position] = Math.max(0, this.baseCount - shares[position]);
		}
		int[] extra = MaxMinShares.divide(capacity - MaxMinShares.sum(shares), claims(boxed(deficits)));
		for (int position = 0; position < shares.length; position++) {
			shares[position] += extra[position];
		}
		return shares;
	}

	/**
	 * Returns how many tokens may be granted now in addition to the current ones.
	 * @param currentCount all current tokens, including fixed ones
	 * @param demands demand of each reachable holder
	 * @return the free part of the limit, negative if the limit is exceeded
	 */
	int freeCount(int currentCount, List<Integer> demands) {
		return this.limit - currentCount - reservedForJobs(demands);
	}

	// Running jobs keep their part; waiting jobs share fairly with the holders.
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
