package io.burdockpin.core.placement;

import io.burdockpin.core.util.Checks;

/**
 * Settings that decide when a failing worker is set aside and when it is retried.
 * Immutable.
 *
 * @param failedJobThreshold number of different jobs that must fail quickly in a row
 * before the worker is set aside
 * @param quickFailureMillis a job that fails within this time after its start counts as a
 * quick failure
 * @param firstRetryMillis how long a worker is set aside the first time; doubles each
 * further time
 * @param longestRetryMillis upper limit of the time a worker is set aside
 * @param maximumSetAsidePercent largest part of a pool that may be set aside; if more
 * workers fail, the jobs are the more likely cause
 */
public record HealthSettings(int failedJobThreshold, long quickFailureMillis, long firstRetryMillis,
		long longestRetryMillis, int maximumSetAsidePercent) {

	/**
	 * Sets a worker aside after three different jobs and retries it after one minute to
	 * one hour.
	 */
	public static final HealthSettings DEFAULT = new HealthSettings(3, 10_000, 60_000, 3_600_000, 50);

	public HealthSettings {
		Checks.range("failedJobThreshold", failedJobThreshold, 1, 100);
		Checks.range("quickFailureMillis", quickFailureMillis, 1, 3_600_000);
		Checks.range("firstRetryMillis", firstRetryMillis, 1, 86_400_000);
		Checks.range("longestRetryMillis", longestRetryMillis, firstRetryMillis, 86_400_000);
		Checks.range("maximumSetAsidePercent", maximumSetAsidePercent, 0, 100);
	}

}
