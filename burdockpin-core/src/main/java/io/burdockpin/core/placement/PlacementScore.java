package io.burdockpin.core.placement;

import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.JobRecord;

/**
 * Scores the workers that could run a job by packing, headroom, spread over racks and
 * upcoming maintenance, weighted by a {@link PlacementPreference}. Immutable.
 */
final class PlacementScore {

	/**
	 * With less free capacity than this, a growing job is likely to overload the worker
	 * and be moved.
	 */
	private static final double TARGET_HEADROOM_FRACTION = 0.1;

	/** Shorter jobs do not noticeably delay a drain. */
	private static final long SHORT_RUN_MILLIS = 60_000;

	private final double bufferWeight;

	private final double movesWeight;

	private final double shareWeight;

	private final double rolloutWeight;

	PlacementScore(PlacementPreference preference) {
		this.bufferWeight = preference.normalizedWeight(preference.weightBuffer());
		this.movesWeight = preference.normalizedWeight(preference.weightMoves());
		this.shareWeight = preference.normalizedWeight(preference.weightShare());
		this.rolloutWeight = preference.normalizedWeight(preference.weightRollout());
	}

	/**
	 * Returns the penalty of placing a job on a worker.
	 * @param round the current placement round
	 * @param job the waiting job
	 * @param demand the expected usage of the job
	 * @param team the team that owns the job
	 * @param worker a worker with enough free capacity
	 * @return the penalty; the job is placed on the worker with the lowest one
	 */
	double penalty(PlacementRound round, JobRecord job, Resources demand, TeamLoad team, WorkerLoad worker) {
		double freeFraction = worker.freeFractionAfter(demand);
		double tightness = Math.max(0, TARGET_HEADROOM_FRACTION - freeFraction) / TARGET_HEADROOM_FRACTION;
		double concentration = 1 - 1.0 / (1 + round.jobsOfTeamInRack(team, worker));
		return this.bufferWeight * freeFraction + this.movesWeight * tightness + this.shareWeight * concentration / 4
				+ maintenancePenalty(round, job, worker);
	}

	private double maintenancePenalty(PlacementRound round, JobRecord job, WorkerLoad worker) {
		if (!worker.awaitsMaintenance()) {
			return 0;
		}
		boolean delaysDrain = round.estimator().expectedRunMillis(job.spec()) > SHORT_RUN_MILLIS;
		return delaysDrain ? this.rolloutWeight + this.movesWeight : 0;
	}

}
