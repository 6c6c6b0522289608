package io.burdockpin.core.placement;

import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.JobRecord;

/**
 * Rates the workers that could take a job. Immutable. The four weights of the firm decide
 * how much packing, headroom, spread over racks and the coming maintenance count.
 */
final class PlacementScore {

	/** Below this free fraction a job that grows is likely to be moved. */
	private static final double WANTED_HEADROOM = 0.1;

	/** A job that ends sooner than this does not delay a drain. */
	private static final long SHORT_RUN_MILLIS = 60_000;

	private final double bufferPart;

	private final double movesPart;

	private final double sharePart;

	private final double rolloutPart;

	PlacementScore(PlacementPreference preference) {
		this.bufferPart = preference.partOf(preference.weightBuffer());
		this.movesPart = preference.partOf(preference.weightMoves());
		this.sharePart = preference.partOf(preference.weightShare());
		this.rolloutPart = preference.partOf(preference.weightRollout());
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
	double penalty(PlacementRound round, JobRecord job, Resources demand, TeamAccount team, WorkerLoad worker) {
		double freeFraction = worker.freeFractionAfter(demand);
		double tightness = Math.max(0, WANTED_HEADROOM - freeFraction) / WANTED_HEADROOM;
		double concentration = 1 - 1.0 / (1 + round.jobsOfTeamInRack(team, worker));
		return this.bufferPart * freeFraction + this.movesPart * tightness + this.sharePart * concentration / 4
				+ maintenancePenalty(round, job, worker);
	}

	private double maintenancePenalty(PlacementRound round, JobRecord job, WorkerLoad worker) {
		if (!worker.awaitsMaintenance()) {
			return 0;
		}
		boolean delaysDrain = round.estimator().expectedRunMillis(job.spec()) > SHORT_RUN_MILLIS;
		return delaysDrain ? this.rolloutPart + this.movesPart : 0;
	}

}
