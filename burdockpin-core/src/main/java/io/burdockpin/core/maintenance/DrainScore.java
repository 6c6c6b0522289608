package io.burdockpin.core.maintenance;

import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.placement.PlacementPreference;
import io.burdockpin.core.state.HostRecord;

/**
 * Rates hosts for the next drain. Immutable. Hosts that empty soon keep the roll-out
 * short; hosts whose jobs end in time keep the moves few; hosts of a rack that is out
 * already leave other racks whole.
 */
final class DrainScore {

	/** Jobs that a drain moves count in full from this number on. */
	private static final double MAXIMUM_COUNTED_MOVES = 4;

	private static final double NEW_RACK_PENALTY = 0.5;

	/** An interrupted job that cannot be repeated is worse than any delay or move. */
	private static final double INTERRUPTED_JOB_PENALTY = 10;

	private final double rolloutWeight;

	private final double movesWeight;

	DrainScore(PlacementPreference preference) {
		this.rolloutWeight = preference.normalizedWeight(preference.weightRollout());
		this.movesWeight = preference.normalizedWeight(preference.weightMoves());
	}

	/**
	 * Rates one host.
	 * @param forecast what its drain costs
	 * @param limitMillis the longest drain of the campaign
	 * @param rackOut whether its rack is out already
	 * @return the penalty; hosts with lower ones are drained first
	 */
	double penalty(DrainForecast forecast, long limitMillis, boolean rackOut) {
		double duration = (limitMillis > 0) ? (double) forecast.drainMillis() / limitMillis : 0;
		double moves = Math.min(1, forecast.movedJobs().size() / MAXIMUM_COUNTED_MOVES);
		return this.rolloutWeight * duration + this.movesWeight * moves
				+ INTERRUPTED_JOB_PENALTY * forecast.interruptedJobs().size() + (rackOut ? 0 : NEW_RACK_PENALTY);
	}

	/**
	 * A host that may be drained next.
	 *
	 * @param campaign the campaign
	 * @param host the host
	 * @param forecast what its drain costs
	 */
	record Candidate(CampaignName campaign, HostRecord host, DrainForecast forecast) {
	}

}
