package io.burdockpin.core.placement;

import io.burdockpin.core.util.Checks;

/**
 * Relative weights of the four optimization goals of the planners. Only the ratios
 * matter. Immutable.
 *
 * @param weightRollout weight of short maintenance roll-outs
 * @param weightMoves weight of few job moves
 * @param weightShare weight of keeping each team close to its share
 * @param weightBuffer weight of keeping little capacity idle
 */
public record PlacementPreference(int weightRollout, int weightMoves, int weightShare, int weightBuffer) {

	/** Gives all four goals the same weight. */
	public static final PlacementPreference BALANCED = new PlacementPreference(1, 1, 1, 1);

	/** Favours short roll-outs and few job moves. */
	public static final PlacementPreference FAST_ROLLOUT = new PlacementPreference(3, 3, 1, 1);

	/** Favours fair shares and little idle capacity. */
	public static final PlacementPreference FAIR_SHARE = new PlacementPreference(1, 1, 3, 3);

	private static final int MAX_WEIGHT = 1000;

	public PlacementPreference {
		Checks.range("weightRollout", weightRollout, 0, MAX_WEIGHT);
		Checks.range("weightMoves", weightMoves, 0, MAX_WEIGHT);
		Checks.range("weightShare", weightShare, 0, MAX_WEIGHT);
		Checks.range("weightBuffer", weightBuffer, 0, MAX_WEIGHT);
	}

	/**
	 * Returns a weight divided by the sum of all four.
	 * @param weight one of the four weights
	 * @return the normalized weight, from 0 to 1
	 */
	public double normalizedWeight(int weight) {
		int sum = this.weightRollout + this.weightMoves + this.weightShare + this.weightBuffer;
		return (sum > 0) ? (double) weight / sum : 0.25;
	}

}
