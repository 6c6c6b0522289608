package io.burdockpin.core.placement;

import java.util.Map;

import io.burdockpin.core.state.JobRecord;

/** Estimates the remaining run time of placed jobs. */
@FunctionalInterface
public interface RemainingTimeEstimator {

	/**
	 * Returns the expected remaining run time of a job.
	 * @param job a job that holds capacity
	 * @param nowMillis the current time
	 * @return the remaining time in milliseconds
	 */
	long expectedRemainingMillis(JobRecord job, long nowMillis);

	/**
	 * Returns an estimator that uses the declared run times uncorrected.
	 * @return an immutable estimator
	 */
	static RemainingTimeEstimator fromDeclarations() {
		return new RunTimeFactors(Map.of());
	}

}
