package io.burdockpin.core.batch.lead.place;

import io.burdockpin.core.batch.model.TaskId;

/**
 * News about the waits of the tasks of one step, for the event log.
 *
 * @param kind what happened
 * @param step first task of the step, which identifies it
 * @param pool name of the pool
 * @param reason why the tasks wait or started
 * @param count number of tasks
 * @param millis time until the end of the wait if it begins, otherwise the longest time
 * that one of the tasks has waited, in milliseconds
 */
public record WaitNotice(Kind kind, TaskId step, String pool, PlacementReason reason, int count, long millis) {

	/** Kind of news. */
	public enum Kind {

		/** Tasks began to wait. */
		BEGUN,

		/** Tasks started near their data. */
		STARTED_NEAR,

		/** Tasks started far from their data after a wait. */
		STARTED_FAR

	}

}
