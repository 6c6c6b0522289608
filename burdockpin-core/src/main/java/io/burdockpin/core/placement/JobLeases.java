package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.state.JobRecord;

/**
 * When the leader last renewed the lease of each job. Mutable, owned by one planner. A
 * job whose renewal is not known, as after a change of leader, counts as renewed when it
 * is first seen, so that a new leader waits a full period.
 */
public final class JobLeases {

	private final LeaseSettings settings;

	private final Map<JobId, Renewal> renewals = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param settings the periods
	 */
	public JobLeases(LeaseSettings settings) {
		this.settings = settings;
	}

	// life cycle

	/** Forgets all renewals, as a new leader does. */
	public void restart() {
		this.renewals.clear();
	}

	/**
	 * Takes the jobs of a round: starts the period of jobs seen for the first time and
	 * forgets jobs that no longer hold capacity.
	 * @param jobs all jobs
	 * @param nowMillis the time of the round
	 */
	public void observe(Iterable<JobRecord> jobs, long nowMillis) {
		Map<JobId, Renewal> kept = new HashMap<>();
		for (JobRecord job : jobs) {
			if (job.state().holdsCapacity()) {
				kept.put(job.id(), renewalOf(job, nowMillis));
			}
		}
		this.renewals.clear();
		this.renewals.putAll(kept);
	}

	// access

	/**
	 * Records that the leader renews a lease.
	 * @param job the job
	 * @param leaseEpoch the epoch that the worker reported
	 * @param nowMillis the time of the renewal
	 */
	public void renew(JobId job, long leaseEpoch, long nowMillis) {
		this.renewals.put(job, new Renewal(leaseEpoch, nowMillis));
	}

	/**
	 * Tells whether a job certainly runs no more under its lease. This never holds for a
	 * job that is not repeatable, because such a job runs on without a lease.
	 * @param job a job that holds capacity
	 * @param nowMillis the time of the round
	 * @return {@code true} if the lease and the margin have passed
	 */
	public boolean hasLapsed(JobRecord job, long nowMillis) {
		return job.spec().repeatable() && periodHasPassed(job, nowMillis);
	}

	/**
	 * Tells whether the lease and the margin have passed since the last renewal.
	 * @param job a job that holds capacity
	 * @param nowMillis the time of the round
	 * @return {@code true} if the period has passed
	 */
	public boolean periodHasPassed(JobRecord job, long nowMillis) {
		Renewal renewal = renewalOf(job, nowMillis);
		return nowMillis - renewal.renewedMillis() >= this.settings.lapseMillis();
	}

	// helpers

	private Renewal renewalOf(JobRecord job, long nowMillis) {
		Renewal known = this.renewals.get(job.id());
		if (known != null && known.leaseEpoch() == job.leaseEpoch()) {
			return known;
		}
		return new Renewal(job.leaseEpoch(), nowMillis);
	}

	private record Renewal(long leaseEpoch, long renewedMillis) {
	}

}
