package io.burdockpin.core.batch.lead.run;

import java.util.OptionalLong;

import io.burdockpin.core.batch.model.TaskId;

/** Order from the leader to a runner. Immutable. */
public sealed interface RunnerOrder {

	/**
	 * Returns the fencing token, which is the term of the leader. Runners refuse orders
	 * of earlier leaders.
	 * @return term of the leader
	 */
	long fencingToken();

	/**
	 * Starts a run. Idempotent.
	 *
	 * @param fencingToken term of the leader
	 * @param task task to run
	 * @param run number of the run
	 * @param specification specification of the job
	 * @param checkpoint checkpoint to resume from, empty to start from the beginning
	 * @param leaseEndMillis new expiry time of the runner's lease, on the runner's clock
	 */
	record Start(long fencingToken, TaskId task, int run, String specification, String checkpoint,
			long leaseEndMillis) implements RunnerOrder {

	}

	/**
	 * Stops a run, or prevents it from starting.
	 *
	 * @param fencingToken term of the leader
	 * @param task task of the run
	 * @param run number of the run
	 */
	record Stop(long fencingToken, TaskId task, int run) implements RunnerOrder {

	}

	/**
	 * Renews the lease and requests a listing of the active and ended runs.
	 *
	 * @param fencingToken term of the leader
	 * @param acknowledgedEnd number of the last end that the runner may discard
	 * @param leaseEndMillis new expiry time of the lease on the runner's clock, or empty
	 * to leave the lease unchanged
	 * @param waitMillis maximum time for which the runner waits for a new end before it
	 * answers
	 */
	record Heartbeat(long fencingToken, long acknowledgedEnd, OptionalLong leaseEndMillis,
			int waitMillis) implements RunnerOrder {

	}

	/**
	 * Limits the CPU share of a task.
	 *
	 * @param fencingToken term of the leader
	 * @param task task of the run
	 * @param run number of the run
	 * @param percent limit in percent, 0 to 100
	 */
	record Throttle(long fencingToken, TaskId task, int run, int percent) implements RunnerOrder {

	}

}
