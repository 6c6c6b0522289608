package io.burdockpin.core.batch.lead.plan;

import java.util.Arrays;
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
	 * @param chains chains of the steps of the job
	 * @param step number of the first remaining step
	 * @param wallMillis current wall-clock time, in milliseconds since the epoch
	 * @return slack in milliseconds, negative if the objective will be missed
	 */
	public long slackMillis(BatchJob job, BatchQueue queue, Occurrence occurrence, StepChains chains, int step,
			long wallMillis) {
		return objectiveMillis(job, queue, occurrence, chains) - wallMillis - chains.remainingMillis(step);
	}

	/**
	 * Returns the time at which a result becomes late.
	 * @param job job with an objective
	 * @param queue queue of the job
	 * @param occurrence occurrence of the job
	 * @param chains chains of the steps of the job
	 * @return time in milliseconds since the epoch
	 */
	long objectiveMillis(BatchJob job, BatchQueue queue, Occurrence occurrence, StepChains chains) {
		return startMillis(job, occurrence) + latencyMillis(queue, chains);
	}

	/**
	 * Returns the latency that the caller accepts.
	 * @param queue queue of the job
	 * @param chains chains of the steps of the job
	 * @return latency from the acceptance or due time of the job, in milliseconds
	 */
	long latencyMillis(BatchQueue queue, StepChains chains) {
		return queue.targetLatencyMillis() + (long) (queue.stretch() * chains.longestMillis());
	}

	/**
	 * Calculates the chains of dependent steps of a job, once for all its steps.
	 * @param job job whose queue is known
	 * @return the estimated durations
	 */
	public StepChains chains(BatchJob job) {
		return chains(job.address().orElseThrow(), job.spec());
	}

	/**
	 * Returns the estimated duration of the longest chain of dependent steps of a job
	 * that is not known yet.
	 * @param queue address of the queue
	 * @param spec specification of the job
	 * @return duration in milliseconds
	 */
	long chainMillis(QueueAddress queue, JobSpec spec) {
		return chains(queue, spec).longestMillis();
	}

	private static long startMillis(BatchJob job, Occurrence occurrence) {
		return job.spec().dueMillis(occurrence.number(), job.acceptedMillis());
	}

	// Visits each dependency once, since a job may have thousands.
	private StepChains chains(QueueAddress queue, JobSpec spec) {
		List<StepSpec> steps = spec.steps();
		long[] followingMillis = new long[steps.size()];
		long[] millis = new long[steps.size()];
		for (int step = steps.size() - 1; step >= 0; step--) {
			millis[step] = this.durations.estimateMillis(queue, steps.get(step).estimatedMillis())
					+ followingMillis[step];
			for (int earlier : steps.get(step).after()) {
				followingMillis[earlier] = Math.max(followingMillis[earlier], millis[step]);
			}
		}
		return new StepChains(millis, Arrays.stream(millis).max().orElse(0));
	}

	/**
	 * Estimated durations of the chains of dependent steps that begin with each step of a
	 * job. Not changed after its creation.
	 */
	public static final class StepChains {

		private final long[] millis;

		private final long longestMillis;

		private StepChains(long[] millis, long longestMillis) {
			this.millis = millis;
			this.longestMillis = longestMillis;
		}

		long longestMillis() {
			return this.longestMillis;
		}

		/**
		 * Returns the estimated duration of the work that remains.
		 * @param step number of the first remaining step, or 0 for the longest chain of
		 * the job
		 * @return duration in milliseconds
		 */
		long remainingMillis(int step) {
			return (step == 0) ? this.longestMillis : this.millis[step];
		}

	}

}
