package io.burdockpin.core.placement;

import java.util.Optional;

import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.placement.WorkerLoad.PlacedJob;

/** The answers to an overloaded worker, in the order of their cost. */
enum OverloadStep {

	/** Takes processor share from a job; costs run time only. */
	THROTTLE {
		@Override
		Optional<JobIntervention> interventionFor(WorkerLoad worker, PlacedJob placed) {
			return Optional.of(intervention(worker, placed, JobOrderKind.THROTTLE, THROTTLED_PERCENT));
		}

		@Override
		OverloadStep next() {
			return CHECKPOINT;
		}
	},

	/** Has the job save its progress, so that a later stop loses little. */
	CHECKPOINT {
		@Override
		Optional<JobIntervention> interventionFor(WorkerLoad worker, PlacedJob placed) {
			if (!placed.job().spec().repeatable()) {
				return Optional.empty();
			}
			return Optional.of(intervention(worker, placed, JobOrderKind.CHECKPOINT, 0));
		}

		@Override
		OverloadStep next() {
			return MOVE;
		}
	},

	/** Stops the job, which then waits for another worker. */
	MOVE {
		@Override
		Optional<JobIntervention> interventionFor(WorkerLoad worker, PlacedJob placed) {
			boolean movable = placed.job().spec().repeatable() && placed.job().state() == JobState.RUNNING;
			if (!movable) {
				return Optional.empty();
			}
			return Optional.of(intervention(worker, placed, JobOrderKind.STOP, 0));
		}

		@Override
		OverloadStep next() {
			return MOVE;
		}
	};

	/** Half the processor share slows a job to at most twice its run time. */
	private static final int THROTTLED_PERCENT = 50;

	/**
	 * Returns the order of this step for a job.
	 * @param worker the overloaded worker
	 * @param placed one of its jobs
	 * @return the order, or nothing if the step does not suit the job
	 */
	abstract Optional<JobIntervention> interventionFor(WorkerLoad worker, PlacedJob placed);

	/**
	 * Returns the step that follows when this one has not helped.
	 * @return the next step, the last one again after the last
	 */
	abstract OverloadStep next();

	private static JobIntervention intervention(WorkerLoad worker, PlacedJob placed, JobOrderKind kind,
			int throttlePercent) {
		return new JobIntervention(worker.name(), placed.job().id(), placed.job().leaseEpoch(), kind, throttlePercent,
				"worker is overloaded");
	}

}
