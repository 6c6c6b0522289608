package io.burdockpin.core.measure;

import java.util.HashMap;
import java.util.Map;

/** Weighted max-min fair division of the capacity of one pool. */
public final class FairShare {

	private static final double EPSILON = 1e-6;

	private FairShare() {
	}

	/**
	 * Divides a capacity. No claimant gets more than its demand; unused shares are
	 * divided among the other claimants by weight.
	 * @param demands demand of each claimant, in the unit of the capacity
	 * @param weights weight of each claimant, positive
	 * @param capacity the capacity to divide
	 * @param <K> type of the claimants
	 * @return the fair share of each claimant, in the unit of the capacity
	 */
	public static <K> Map<K, Double> divide(Map<K, Double> demands, Map<K, Integer> weights, double capacity) {
		Map<K, Double> unsatisfied = new HashMap<>(demands);
		Map<K, Double> result = new HashMap<>();
		double remaining = capacity;
		while (!unsatisfied.isEmpty()) {
			double weightSum = unsatisfied.keySet().stream().mapToDouble(weights::get).sum();
			double amountPerWeight = remaining / weightSum;
			Map<K, Double> satisfied = new HashMap<>();
			unsatisfied.forEach((key, demand) -> {
				if (demand <= amountPerWeight * weights.get(key) + EPSILON) {
					satisfied.put(key, demand);
				}
			});
			if (satisfied.isEmpty()) {
				unsatisfied.keySet().forEach((key) -> result.put(key, amountPerWeight * weights.get(key)));
				return result;
			}
			result.putAll(satisfied);
			remaining -= satisfied.values().stream().mapToDouble(Double::doubleValue).sum();
			unsatisfied.keySet().removeAll(satisfied.keySet());
		}
		return result;
	}

}
