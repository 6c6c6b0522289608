package io.burdockpin.core.placement;

import io.burdockpin.core.util.Checks;

/**
 * Periods of job leases and worker reports. Immutable.
 *
 * @param leaseMillis how long a worker may run a job after it sent the report that
 * renewed the lease
 * @param livenessTimeoutMillis how long after its last report a worker still gets new
 * jobs
 */
public record LeaseSettings(long leaseMillis, long livenessTimeoutMillis) {

	/** Leases of 30 s; a worker that misses two reports of one second gets no new job. */
	public static final LeaseSettings DEFAULT = new LeaseSettings(30_000, 3_000);

	private static final int MARGIN_PERCENT = 20;

	public LeaseSettings {
		Checks.range("leaseMillis", leaseMillis, 1_000, 3_600_000);
		Checks.range("liveMillis", livenessTimeoutMillis, 100, 600_000);
	}

	/**
	 * Returns how long the leader waits after the last renewal before it treats a job as
	 * stopped. The margin covers clocks of worker and leader that run at different
	 * speeds.
	 * @return the lease and a margin of 20%, in milliseconds
	 */
	public long expiryMillis() {
		return this.leaseMillis + this.leaseMillis * MARGIN_PERCENT / 100;
	}

}
