package io.burdockpin.core.measure;

import java.util.HashMap;
import java.util.Map;

/** Weighted max-min fair division of one pool's capacity. Has no state. */
public final class FairShare {

	private static final double EPSILON = 1e-6;

	private FairShare() {
	}

	/**
	 * Divides a capacity. No claimant gets more than it demands, and what one leaves goes
	 * to the others by weight.
	 * @param demands the demand of each claimant
	 * @param weights the weight of each claimant
	 * @param capacity what is divided
	 * @param <K> type of the claimants
	 * @return the fair amount of each claimant
	 */
	public static <K> Map<K, Double> divide(Map<K, Double> demands, Map<K, Integer> weights, double capacity) {
		Map<K, Double> open = new HashMap<>(demands);
		Map<K, Double> result = new HashMap<>();
		double left = capacity;
		while (!open.isEmpty()) {
			double weightSum = open.keySet().stream().mapToDouble(weights::get).sum();
			double level = left / weightSum;
			Map<K, Double> satisfied = new HashMap<>();
			open.forEach((key, demand) -> {
				if (demand <= level * weights.get(key) + EPSILON) {
					satisfied.put(key, demand);
				}
			});
			if (satisfied.isEmpty()) {
				open.keySet().forEach((key) -> result.put(key, level * weights.get(key)));
				return result;
			}
			result.putAll(satisfied);
			left -= satisfied.values().stream().mapToDouble(Double::doubleValue).sum();
			open.keySet().removeAll(satisfied.keySet());
		}
		return result;
	}

}
