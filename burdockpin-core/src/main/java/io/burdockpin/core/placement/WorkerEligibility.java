package io.burdockpin.core.placement;

import io.burdockpin.core.model.HostName;

/** Says which workers may get new jobs, apart from the state of their host record. */
interface WorkerEligibility {

	/**
	 * Tells whether a worker may get jobs.
	 * @param worker the worker
	 * @param nowMillis the time of the round
	 * @return {@code true} if it may
	 */
	boolean isEligible(HostName worker, long nowMillis);

	/**
	 * Returns how many jobs a worker may hold.
	 * @param worker the worker
	 * @param usualMaximum the limit for a worker that is not on trial
	 * @return the limit
	 */
	int maximumJobs(HostName worker, int usualMaximum);

}
