package io.burdockpin.core.batch.lead.place;

import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.StepSpec;

/**
 * What a task requires of its runner.
 *
 * @param pool name of the pool of its queue
 * @param spec step of the task
 * @param hasFailed whether a run of the task has failed
 * @param places where the tasks of its job run; a live view
 */
public record PlaceRequest(String pool, StepSpec spec, boolean hasFailed, JobPlaces places) {

	/**
	 * Returns how many more tasks of the step a runner may get.
	 * @param runner incarnation of the runner
	 * @return a number from 0, {@link Integer#MAX_VALUE} without a maximum
	 */
	int permittedOn(RunnerKey runner) {
		return this.spec.maximumPerRunner().isEmpty() ? Integer.MAX_VALUE
				: Math.max(0, this.spec.maximumPerRunner().getAsInt() - this.places.stepTasksOn(runner));
	}

}
