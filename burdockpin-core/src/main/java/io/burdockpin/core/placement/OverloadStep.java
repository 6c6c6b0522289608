package io.burdockpin.core.placement;

import java.util.Optional;

import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.placement.WorkerLoad.PlacedJob;

/** Steps that relieve an overloaded worker, in ascending order of cost. */
enum OverloadStep {

	/** Limits the processor share of a job, which costs only run time. */
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

	/** Saves a checkpoint of a job, so that a later stop loses little work. */
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

	/** Stops a job, which then waits to be placed on another worker. */
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

	/** With half its processor share a job takes at most twice its run time. */
	private static final int THROTTLED_PERCENT = 50;

	/**
	 * Returns the order that applies this step to a job.
	 * @param worker the overloaded worker
	 * @param placed a job on the worker
	 * @return the order, or empty if the step is not applicable to the job
	 */
	abstract Optional<JobIntervention> interventionFor(WorkerLoad worker, PlacedJob placed);

	/**
	 * Returns the step to take if the worker is still overloaded after this one.
	 * @return the next step; {@link #MOVE} repeats
	 */
	abstract OverloadStep next();

	private static JobIntervention intervention(WorkerLoad worker, PlacedJob placed, JobOrderKind kind,
			int throttlePercent) {
		return new JobIntervention(worker.name(), placed.job().id(), placed.job().leaseEpoch(), kind, throttlePercent,
				"worker is overloaded");
	}

}
