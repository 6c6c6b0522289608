package io.burdockpin.core.limit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Divides a capacity by weighted max-min fairness: nobody gets more than it asks for, and
 * what is left goes to the others by weight. Stateless.
 */
final class MaxMinShares {

	private MaxMinShares() {
	}

	/**
	 * Divides a capacity.
	 * @param capacity what there is, 0 or more
	 * @param claims who asks for how much
	 * @return the share of each claim, in whole units
	 */
	static int[] divide(int capacity, List<Claim> claims) {
		int[] shares = new int[claims.size()];
		List<Integer> open = new ArrayList<>();
		for (int position = 0; position < claims.size(); position++) {
			open.add(position);
		}
		int left = capacity;
		boolean satisfied = true;
		while (satisfied && !open.isEmpty()) {
			List<Integer> modest = fullySatisfiable(left, claims, open);
			satisfied = !modest.isEmpty();
			for (int position : modest) {
				shares[position] = claims.get(position).demand();
				left -= shares[position];
			}
			open.removeAll(modest);
		}
		divideByWeight(left, claims, open, shares);
		return shares;
	}

	private static List<Integer> fullySatisfiable(int left, List<Claim> claims, List<Integer> open) {
		long weights = weights(claims, open);
		return open.stream()
			.filter((
					position) -> claims.get(position).demand() * weights <= (long) left * claims.get(position).weight())
			.toList();
	}

	private static void divideByWeight(int left, List<Claim> claims, List<Integer> open, int[] shares) {
		long weights = weights(claims, open);
		for (int position : open) {
			shares[position] = (int) ((long) left * claims.get(position).weight() / weights);
		}
		int remainder = left - open.stream().mapToInt((position) -> shares[position]).sum();
		open.stream().limit(remainder).forEach((position) -> shares[position]++);
	}

	private static long weights(List<Claim> claims, List<Integer> open) {
		return open.stream().mapToLong((position) -> claims.get(position).weight()).sum();
	}

	static int sum(int[] shares) {
		return Arrays.stream(shares).sum();
	}

	/**
	 * Asks for a part of the capacity.
	 *
	 * @param demand how much, 0 or more
	 * @param weight weight when there is not enough, 1 or more
	 */
	record Claim(int demand, int weight) {

	}

}
