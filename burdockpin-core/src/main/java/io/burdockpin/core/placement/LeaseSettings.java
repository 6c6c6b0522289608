package io.burdockpin.core.placement;

import io.burdockpin.core.util.Checks;

/**
 * Lease duration of jobs and liveness timeout of workers. Immutable.
 *
 * @param leaseMillis how long a worker may run a job after it has sent the report that
 * renewed the lease
 * @param livenessTimeoutMillis how long after its last report a worker is still given new
 * jobs
 */
public record LeaseSettings(long leaseMillis, long livenessTimeoutMillis) {

	/**
	 * Leases of 30 s. Workers report every second and get no new jobs after two missed
	 * reports.
	 */
	public static final LeaseSettings DEFAULT = new LeaseSettings(30_000, 3_000);

	private static final int MARGIN_PERCENT = 20;

	public LeaseSettings {
		Checks.range("leaseMillis", leaseMillis, 1_000, 3_600_000);
		Checks.range("livenessTimeoutMillis", livenessTimeoutMillis, 100, 600_000);
	}

	/**
	 * Returns how long after the last renewal the leader considers a lease expired. The
	 * margin of 20% covers clock drift between the worker and the leader, and the time
	 * for which a replaced leader may still renew leases.
	 * @return the lease duration plus the margin, in milliseconds
	 */
	public long expiryMillis() {
		return this.leaseMillis + marginMillis();
	}

	/**
	 * Returns how much longer than the worker the leader waits for the end of a lease.
	 * @return 20% of the lease duration, in milliseconds
	 */
	public long marginMillis() {
		return this.leaseMillis * MARGIN_PERCENT / 100;
	}

}
