package io.burdockpin.core.maintenance;

import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.placement.PlacementPreference;
import io.burdockpin.core.state.HostRecord;

/**
 * Rates hosts for the next drain. Immutable. Hosts that empty soon keep the roll-out
 * short; hosts whose jobs end in time keep the moves few; hosts of a rack that is out
 * already leave other racks whole.
 */
final class DrainOrder {

	/** Jobs that a drain moves count in full from this number on. */
	private static final double MANY_MOVES = 4;

	private static final double NEW_RACK_PENALTY = 0.5;

	/** An interrupted job that cannot be repeated is worse than any delay or move. */
	private static final double ENDED_JOB_PENALTY = 10;

	private final double rolloutPart;

	private final double movesPart;

	DrainOrder(PlacementPreference preference) {
		this.rolloutPart = preference.partOf(preference.weightRollout());
		this.movesPart = preference.partOf(preference.weightMoves());
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
		double moves = Math.min(1, forecast.movedJobs().size() / MANY_MOVES);
		return this.rolloutPart * duration + this.movesPart * moves + ENDED_JOB_PENALTY * forecast.endedJobs().size()
				+ (rackOut ? 0 : NEW_RACK_PENALTY);
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
