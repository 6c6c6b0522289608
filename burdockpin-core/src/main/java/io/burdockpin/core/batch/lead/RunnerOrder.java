package io.burdockpin.core.batch.lead;

import java.util.OptionalLong;

import io.burdockpin.core.batch.model.TaskId;

/** What the leader asks of one runner. Immutable. */
public sealed interface RunnerOrder {

	/**
	 * Returns the term of the leader; the runner refuses orders of earlier leaders.
	 * @return the fencing token
	 */
	long fencingToken();

	/**
	 * Starts a run. Repeating it does no harm.
	 *
	 * @param fencingToken the term of the leader
	 * @param task the task
	 * @param run the number of the run
	 * @param specification the text of the job
	 * @param checkpoint the progress to resume from, empty to start at the beginning
	 * @param leaseEndMillis new end of the runner's lease, by the clock of the runner
	 */
	record Start(long fencingToken, TaskId task, int run, String specification, String checkpoint,
			long leaseEndMillis) implements RunnerOrder {

	}

	/**
	 * Stops a run, and keeps it from starting if it has not started yet.
	 *
	 * @param fencingToken the term of the leader
	 * @param task the task
	 * @param run the number of the run
	 */
	record Stop(long fencingToken, TaskId task, int run) implements RunnerOrder {

	}

	/**
	 * Renews the lease and asks for the lists of runs.
	 *
	 * @param fencingToken the term of the leader
	 * @param acknowledgedEnd number of the newest end that the runner may forget
	 * @param leaseEndMillis new end of the lease by the clock of the runner; nothing
	 * leaves the lease as it is
	 * @param waitMillis how long the runner may wait for a new end before it answers
	 */
	record Heartbeat(long fencingToken, long acknowledgedEnd, OptionalLong leaseEndMillis,
			int waitMillis) implements RunnerOrder {

	}

	/**
	 * Limits the share of the processor at which a task works.
	 *
	 * @param fencingToken the term of the leader
	 * @param task the task
	 * @param run the number of the run
	 * @param percent the share, 0 to 100
	 */
	record Throttle(long fencingToken, TaskId task, int run, int percent) implements RunnerOrder {

	}

}
