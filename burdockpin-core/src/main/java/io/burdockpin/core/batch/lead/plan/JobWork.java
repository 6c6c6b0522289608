package io.burdockpin.core.batch.lead.plan;

import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.Occurrence;

/**
 * Remaining work of an active job of a finite duration in a pool that lacks capacity.
 *
 * @param job the job
 * @param queue queue of the job
 * @param occurrence occurrence of the job
 * @param objectiveMillis time at which its result becomes late, in milliseconds since the
 * epoch
 * @param latencyMillis latency that the caller accepts, in milliseconds
 * @param slackMillis time until the objective minus the remaining duration, in
 * milliseconds
 * @param started whether a task has been assigned or is done
 * @param runningWork work of the tasks in progress, in core-milliseconds
 * @param waitingWork work of all other open tasks, in core-milliseconds
 * @param totalWork work of the whole job, in core-milliseconds
 */
record JobWork(BatchJob job, BatchQueue queue, Occurrence occurrence, long objectiveMillis, long latencyMillis,
		long slackMillis, boolean started, double runningWork, double waitingWork, double totalWork) {

	/** A result is worth nothing after this multiple of the objective. */
	private static final int EARNING_LATENCIES = 3;

	double remainingWork() {
		return this.runningWork + this.waitingWork;
	}

	boolean isLate() {
		return this.slackMillis < 0;
	}

	boolean earns() {
		return this.slackMillis >= -(EARNING_LATENCIES - 1) * this.latencyMillis;
	}

	/**
	 * Returns how much of the slack that the job had at first is used up.
	 * @param wallMillis current time, in milliseconds since the epoch
	 * @return share from 0 to 1
	 */
	double usedSlack(long wallMillis) {
		double waitedMillis = wallMillis - (this.objectiveMillis - this.latencyMillis);
		return Math.min(1, Math.max(0, waitedMillis) / Math.max(1, waitedMillis + this.slackMillis));
	}

}
