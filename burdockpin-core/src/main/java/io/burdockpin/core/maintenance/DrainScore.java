package io.burdockpin.core.maintenance;

import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.placement.PlacementPreference;
import io.burdockpin.core.state.HostRecord;

/**
 * Scores the candidates for the next drain. Immutable. Prefers hosts that are empty soon,
 * which shortens the roll-out, hosts whose jobs end within the drain time, which avoids
 * moves, and hosts in racks that are already affected, which spares the other racks.
 */
final class DrainScore {

	/** The penalty for moved jobs reaches its maximum at this number. */
	private static final double MAXIMUM_COUNTED_MOVES = 4;

	private static final double NEW_RACK_PENALTY = 0.5;

	/**
	 * Larger than all other penalties, because an interrupted job that is not repeatable
	 * is lost.
	 */
	private static final double INTERRUPTED_JOB_PENALTY = 10;

	private final double rolloutWeight;

	private final double movesWeight;

	DrainScore(PlacementPreference preference) {
		this.rolloutWeight = preference.normalizedWeight(preference.weightRollout());
		this.movesWeight = preference.normalizedWeight(preference.weightMoves());
	}

	/**
	 * Returns the penalty of draining a host.
	 * @param forecast the expected cost of the drain
	 * @param limitMillis the maximum duration of a drain in the campaign
	 * @param rackOut whether the rack of the host already has a host out of service
	 * @return the penalty; hosts with a lower one are drained first
	 */
	double penalty(DrainForecast forecast, long limitMillis, boolean rackOut) {
		double duration = (limitMillis > 0) ? (double) forecast.drainMillis() / limitMillis : 0;
		double moves = Math.min(1, forecast.movedJobs().size() / MAXIMUM_COUNTED_MOVES);
		return this.rolloutWeight * duration + this.movesWeight * moves
				+ INTERRUPTED_JOB_PENALTY * forecast.interruptedJobs().size() + (rackOut ? 0 : NEW_RACK_PENALTY);
	}

	/**
	 * Host that may be drained next.
	 *
	 * @param campaign the campaign that covers the host
	 * @param host the replicated record of the host
	 * @param forecast the expected cost of the drain
	 */
	record Candidate(CampaignName campaign, HostRecord host, DrainForecast forecast) {
	}

}
