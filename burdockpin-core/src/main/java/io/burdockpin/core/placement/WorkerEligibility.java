package io.burdockpin.core.placement;

import io.burdockpin.core.model.HostName;

/**
 * Decides which workers may be given new jobs, in addition to the state of their host
 * record.
 */
interface WorkerEligibility {

	/**
	 * Returns whether a worker may be given new jobs.
	 * @param worker the host name of the worker
	 * @param nowMillis the time of the round
	 * @return {@code true} if the worker is eligible
	 */
	boolean isEligible(HostName worker, long nowMillis);

	/**
	 * Returns the maximum number of concurrent jobs on a worker.
	 * @param worker the host name of the worker
	 * @param usualMaximum the limit for a worker that is not on probation
	 * @return the limit for this worker
	 */
	int maximumJobs(HostName worker, int usualMaximum);

}
