package io.burdockpin.core.placement;

import java.util.Map;

import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.state.JobRecord;

/**
 * Snapshot of the correction factors for declared run times. Immutable.
 */
public final class RunTimeFactors implements RemainingTimeEstimator {

	private final Map<JobSizeClass, Double> factors;

	RunTimeFactors(Map<JobSizeClass, Double> factors) {
		this.factors = Map.copyOf(factors);
	}

	@Override
	public long expectedRemainingMillis(JobRecord job, long nowMillis) {
		double factor = this.factors.getOrDefault(JobSizeClass.of(job.spec()), 1.0);
		return remaining(job, corrected(job.spec(), factor), nowMillis);
	}

	static long corrected(JobSpec spec, double factor) {
		return Math.max(1, Math.round(spec.runMillis() * factor));
	}

	static long remaining(JobRecord job, long expectedRunMillis, long nowMillis) {
		long elapsedMillis = Math.max(0, nowMillis - job.changedMillis());
		long remainingMillis = expectedRunMillis - elapsedMillis;
		// A job that exceeds its estimate is expected to run for another half of its
		// elapsed time.
		return (remainingMillis > 0) ? remainingMillis : elapsedMillis / 2;
	}

}
