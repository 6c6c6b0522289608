package io.burdockpin.core.limit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Divides a capacity by weighted max-min fairness: no claim gets more than its demand,
 * and the capacity that remains is divided among the other claims by weight. Stateless.
 */
final class MaxMinShares {

	private MaxMinShares() {
	}

	/**
	 * Divides a capacity.
	 * @param capacity number of units to divide, 0 or more
	 * @param claims demands and weights
	 * @return the share of each claim in units, in the order of the claims
	 */
	static int[] divide(int capacity, List<Claim> claims) {
		int[] shares = new int[claims.size()];
		List<Integer> unsatisfied = new ArrayList<>();
		for (int position = 0; position < claims.size(); position++) {
			unsatisfied.add(position);
		}
		int remaining = capacity;
		boolean progress = true;
		while (progress && !unsatisfied.isEmpty()) {
			List<Integer> satisfiable = fullySatisfiable(remaining, claims, unsatisfied);
			progress = !satisfiable.isEmpty();
			for (int position : satisfiable) {
				shares[position] = claims.get(position).demand();
				remaining -= shares[position];
			}
			unsatisfied.removeAll(satisfiable);
		}
		divideByWeight(remaining, claims, unsatisfied, shares);
		return shares;
	}

	private static List<Integer> fullySatisfiable(int remaining, List<Claim> claims, List<Integer> unsatisfied) {
		long weights = weights(claims, unsatisfied);
		return unsatisfied.stream()
			.filter((position) -> claims.get(position).demand() * weights <= (long) remaining
					* claims.get(position).weight())
			.toList();
	}

	private static void divideByWeight(int remaining, List<Claim> claims, List<Integer> unsatisfied, int[] shares) {
		long weights = weights(claims, unsatisfied);
		for (int position : unsatisfied) {
			shares[position] = (int) ((long) remaining * claims.get(position).weight() / weights);
		}
		int remainder = remaining - unsatisfied.stream().mapToInt((position) -> shares[position]).sum();
		unsatisfied.stream().limit(remainder).forEach((position) -> shares[position]++);
	}

	private static long weights(List<Claim> claims, List<Integer> unsatisfied) {
		return unsatisfied.stream().mapToLong((position) -> claims.get(position).weight()).sum();
	}

	static int sum(int[] shares) {
		return Arrays.stream(shares).sum();
	}

	/**
	 * A claim to a part of the capacity.
	 *
	 * @param demand requested units, 0 or more
	 * @param weight relative weight if the capacity does not cover all demands, 1 or more
	 */
	record Claim(int demand, int weight) {

	}

}
