package io.burdockpin.core.batch.lead;

import java.util.Comparator;

import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.Occurrence;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * A step whose tasks wait to be placed.
 *
 * @param job the job
 * @param queue its queue
 * @param occurrence the occurrence
 * @param step the number of the step
 * @param tasks the tasks of the step
 * @param urgency where the step stands in the order of placement
 * @param slackMillis time left until the objective minus the work that is left
 */
record WorkItem(BatchJob job, BatchQueue queue, Occurrence occurrence, int step, StepTasks tasks, Urgency urgency,
		long slackMillis) {

	/**
	 * Order of placement: urgency, priority of the queue, then the least slack. Of late
	 * jobs the least late comes first, since a result is worth less the later it comes.
	 */
	static final Comparator<WorkItem> ORDER = Comparator.comparing(WorkItem::urgency)
		.thenComparingInt((item) -> item.queue().priority())
		.thenComparingLong((item) -> Math.abs(item.slackMillis()))
		.thenComparing((item) -> item.job().id());

	/** Groups of steps, the first one first. */
	enum Urgency {

		/**
		 * Belongs to a long-running step of which some tasks run. A step with tasks away
		 * has no budget left for maintenance.
		 */
		RESTORE,

		/** Can still meet its latency objective. */
		IN_TIME,

		/**
		 * Serves its own users until it is cancelled. It is worth less for its share of a
		 * host than work that is in time.
		 */
		LONG_RUNNING,

		/** Will miss its objective; worth little to its caller by now. */
		LATE

	}

}
