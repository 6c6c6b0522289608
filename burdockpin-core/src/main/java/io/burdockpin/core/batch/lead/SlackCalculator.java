package io.burdockpin.core.batch.lead;

import java.util.List;

import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.Occurrence;

/**
 * Tells how much time is left for the steps of jobs. Immutable but for the estimator.
 *
 * @param durations estimates how long tasks take
 */
record SlackCalculator(DurationEstimator durations) {

	/**
	 * Returns the time left until the objective of a job minus the work that is left.
	 * @param job the job
	 * @param queue its queue
	 * @param occurrence the occurrence
	 * @param step the number of the step with which the rest of the work begins
	 * @param wallMillis the time of day in milliseconds since 1970
	 * @return the time in milliseconds, negative if the objective will be missed
	 */
	long slackMillis(BatchJob job, BatchQueue queue, Occurrence occurrence, int step, long wallMillis) {
		JobSpec spec = job.spec();
		long objectiveMillis = spec.dueMillis(occurrence.number(), job.acceptedMillis()) + queue.targetLatencyMillis()
				+ (long) (queue.stretch() * criticalPathMillis(queue.name(), spec, 0));
		return objectiveMillis - wallMillis - criticalPathMillis(queue.name(), spec, step);
	}

	/**
	 * Returns the longest chain of estimated work from a step to the end of the job.
	 * @param queue the queue
	 * @param spec the job
	 * @param firstStep the step with which the chain begins; 0 for any
	 * @return the time in milliseconds
	 */
	private long criticalPathMillis(String queue, JobSpec spec, int firstStep) {
		List<StepSpec> steps = spec.steps();
		long[] chains = new long[steps.size()];
		long longest = 0;
		for (int step = steps.size() - 1; step >= 0; step--) {
			long following = 0;
			for (int later = step + 1; later < steps.size(); later++) {
				if (steps.get(later).after().contains(step)) {
					following = Math.max(following, chains[later]);
				}
			}
			chains[step] = this.durations.estimateMillis(queue, steps.get(step).estimatedMillis()) + following;
			longest = Math.max(longest, chains[step]);
		}
		return (firstStep == 0) ? longest : chains[firstStep];
	}

}
