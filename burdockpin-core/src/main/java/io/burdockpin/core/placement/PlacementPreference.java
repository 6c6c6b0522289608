package io.burdockpin.core.placement;

import io.burdockpin.core.util.Checks;

/**
 * How much a firm values each of the four measures. Only the ratios matter. Immutable.
 *
 * @param weightRollout weight of a short roll-out
 * @param weightMoves weight of few job moves
 * @param weightShare weight of each team coming near its share
 * @param weightBuffer weight of little capacity held idle
 */
public record PlacementPreference(int weightRollout, int weightMoves, int weightShare, int weightBuffer) {

	/** All four measures count the same. */
	public static final PlacementPreference BALANCED = new PlacementPreference(1, 1, 1, 1);

	/** Quillca weighs roll-out time and job moves more. */
	public static final PlacementPreference FAST_ROLLOUT = new PlacementPreference(3, 3, 1, 1);

	/** Nadifa weighs nearness to share and buffer cost more. */
	public static final PlacementPreference FAIR_SHARE = new PlacementPreference(1, 1, 3, 3);

	private static final int MAX_WEIGHT = 1000;

	public PlacementPreference {
		Checks.range("weightRollout", weightRollout, 0, MAX_WEIGHT);
		Checks.range("weightMoves", weightMoves, 0, MAX_WEIGHT);
		Checks.range("weightShare", weightShare, 0, MAX_WEIGHT);
		Checks.range("weightBuffer", weightBuffer, 0, MAX_WEIGHT);
	}

	/**
	 * Returns the part that one weight has in the sum of all four.
	 * @param weight one of the four weights
	 * @return the part, from 0 to 1
	 */
	public double normalizedWeight(int weight) {
		int sum = this.weightRollout + this.weightMoves + this.weightShare + this.weightBuffer;
		return (sum > 0) ? (double) weight / sum : 0.25;
	}

}
