package io.burdockpin.core.placement;

import io.burdockpin.core.util.Checks;

/**
 * When a worker is set aside and tried again. Immutable.
 *
 * @param failedJobThreshold how many different jobs must have failed quickly in a row
 * @param quickFailureMillis a job that fails sooner after its start failed quickly
 * @param firstRetryMillis how long a worker is set aside the first time; doubled each
 * time after
 * @param longestRetryMillis the longest time a worker is set aside
 * @param maximumSetAsidePercent the largest part of a pool that is set aside; beyond it
 * the jobs are the more likely cause
 */
public record HealthSettings(int failedJobThreshold, long quickFailureMillis, long firstRetryMillis,
		long longestRetryMillis, int maximumSetAsidePercent) {

	/** Three different jobs; tried again after one minute to one hour. */
	public static final HealthSettings DEFAULT = new HealthSettings(3, 10_000, 60_000, 3_600_000, 50);

	public HealthSettings {
		Checks.range("failedJobs", failedJobThreshold, 1, 100);
		Checks.range("quickFailureMillis", quickFailureMillis, 1, 3_600_000);
		Checks.range("firstRetryMillis", firstRetryMillis, 1, 86_400_000);
		Checks.range("longestRetryMillis", longestRetryMillis, firstRetryMillis, 86_400_000);
		Checks.range("maximumAsidePercent", maximumSetAsidePercent, 0, 100);
	}

}
