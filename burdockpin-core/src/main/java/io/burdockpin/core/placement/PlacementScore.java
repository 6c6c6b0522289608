package io.burdockpin.core.placement;

import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.JobRecord;

/**
 * Rates the workers that could take a job. Immutable. The four weights of the firm decide
 * how much packing, headroom, spread over racks and the coming maintenance count.
 */
final class PlacementScore {

	/** Below this free fraction a job that grows is likely to be moved. */
	private static final double TARGET_HEADROOM_FRACTION = 0.1;

	/** A job that ends sooner than this does not delay a drain. */
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
	 * Rates one worker for one job.
	 * @param round the round
	 * @param job the waiting job
	 * @param demand what it is expected to use
	 * @param team its team
	 * @param worker a worker that it fits on
	 * @return the penalty; the worker with the lowest one gets the job
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
