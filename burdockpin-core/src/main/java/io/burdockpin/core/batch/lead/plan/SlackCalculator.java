package io.burdockpin.core.batch.lead.plan;

import java.util.List;

import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.QueueAddress;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.Occurrence;

/**
 * Calculates the slack of job steps with respect to the latency objectives of their
 * queues.
 *
 * @param durations estimator for task durations
 */
public record SlackCalculator(DurationEstimator durations) {

	/**
	 * Returns the time until the objective of a job minus the duration of its remaining
	 * work.
	 * @param job job with an objective
	 * @param queue queue of the job
	 * @param occurrence occurrence of the job
	 * @param step number of the first remaining step
	 * @param wallMillis current wall-clock time, in milliseconds since the epoch
	 * @return slack in milliseconds, negative if the objective will be missed
	 */
	public long slackMillis(BatchJob job, BatchQueue queue, Occurrence occurrence, int step, long wallMillis) {
		return objectiveMillis(job, queue, occurrence) - wallMillis - remainingMillis(job, step);
	}

	/**
	 * Returns the time at which a result becomes late.
	 * @param job job with an objective
	 * @param queue queue of the job
	 * @param occurrence occurrence of the job
	 * @return time in milliseconds since the epoch
	 */
	long objectiveMillis(BatchJob job, BatchQueue queue, Occurrence occurrence) {
		return startMillis(job, occurrence) + latencyMillis(job, queue);
	}

	/**
	 * Returns the latency that the caller accepts.
	 * @param job job with an objective
	 * @param queue queue of the job
	 * @return latency from the acceptance or due time of the job, in milliseconds
	 */
	long latencyMillis(BatchJob job, BatchQueue queue) {
		return queue.targetLatencyMillis()
				+ (long) (queue.stretch() * criticalPathMillis(job.address().orElseThrow(), job.spec(), 0));
	}

	/**
	 * Returns the estimated duration of the longest chain of steps that begins with a
	 * step.
	 * @param job job of the step
	 * @param step number of the first remaining step
	 * @return duration in milliseconds
	 */
	long remainingMillis(BatchJob job, int step) {
		return criticalPathMillis(job.address().orElseThrow(), job.spec(), step);
	}

	/**
	 * Returns the estimated duration of the longest chain of dependent steps of a job
	 * that is not known yet.
	 * @param queue address of the queue
	 * @param spec specification of the job
	 * @return duration in milliseconds
	 */
	long chainMillis(QueueAddress queue, JobSpec spec) {
		return criticalPathMillis(queue, spec, 0);
	}

	private static long startMillis(BatchJob job, Occurrence occurrence) {
		return job.spec().dueMillis(occurrence.number(), job.acceptedMillis());
	}

	/**
	 * Returns the estimated duration of the longest chain of dependent steps.
	 * @param queue address of the queue
	 * @param spec specification of the job
	 * @param firstStep first step of the chain, or 0 for the longest chain of the job
	 * @return duration in milliseconds
	 */
	private long criticalPathMillis(QueueAddress queue, JobSpec spec, int firstStep) {
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
