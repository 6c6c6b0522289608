package io.burdockpin.core.placement;

import java.util.Map;

import io.burdockpin.core.state.JobRecord;

/** Estimates how long placed jobs run on. */
@FunctionalInterface
public interface RemainingTimeEstimator {

	/**
	 * Returns how long a job is expected to run on.
	 * @param job a job that holds capacity
	 * @param nowMillis the current time
	 * @return the remaining time in milliseconds
	 */
	long expectedRemainingMillis(JobRecord job, long nowMillis);

	/**
	 * Returns an estimate that believes the declared run times.
	 * @return the estimate
	 */
	static RemainingTimeEstimator fromDeclarations() {
		return new RunTimeFactors(Map.of());
	}

}
