package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.state.JobRecord;

/**
 * Tracks when the leader last renewed the lease of each job. Not thread-safe; owned by
 * one planner. If the last renewal of a job is unknown, for example after a change of
 * leader, the lease counts as renewed when the job is first seen, so that a new leader
 * waits a full lease period.
 */
public final class JobLeases {

	/** Number of rounds between removals of jobs that no longer hold capacity. */
	private static final int CLEANUP_PERIOD_ROUNDS = 16;

	private static final long NO_EPOCH = -1;

	private final LeaseSettings settings;

	private final Map<JobId, Renewal> renewals = new HashMap<>();

	private long roundNumber;

	/**
	 * Creates an empty table.
	 * @param settings the lease duration and its margin
	 */
	public JobLeases(LeaseSettings settings) {
		this.settings = settings;
	}

	// life cycle

	/** Discards all renewals at the start of a new term. */
	public void reset() {
		this.renewals.clear();
	}

	/**
	 * Starts the lease period of jobs that are seen for the first time and removes jobs
	 * that no longer hold capacity.
	 * @param jobs all jobs
	 * @param nowMillis the time of the round
	 */
	public void observe(Iterable<JobRecord> jobs, long nowMillis) {
		this.roundNumber++;
		for (JobRecord job : jobs) {
			if (job.state().holdsCapacity()) {
				Renewal renewal = this.renewals.computeIfAbsent(job.id(), (id) -> new Renewal());
				renewal.restartIfNew(job.leaseEpoch(), nowMillis);
				renewal.lastSeenRound = this.roundNumber;
			}
		}
		if (this.roundNumber % CLEANUP_PERIOD_ROUNDS == 0) {
			this.renewals.values().removeIf((renewal) -> renewal.lastSeenRound < this.roundNumber);
		}
	}

	// access

	/**
	 * Records the renewal of a lease.
	 * @param job a job that the worker still runs
	 * @param leaseEpoch the lease epoch that the worker reported
	 * @param nowMillis the time of the renewal
	 */
	public void renew(JobId job, long leaseEpoch, long nowMillis) {
		Renewal renewal = this.renewals.computeIfAbsent(job, (id) -> new Renewal());
		renewal.leaseEpoch = leaseEpoch;
		renewal.renewedMillis = nowMillis;
		renewal.lastSeenRound = this.roundNumber;
	}

	/**
	 * Returns whether the lease of a job has expired, so that the job has certainly
	 * stopped. Always {@code false} for a job that is not repeatable, because such a job
	 * keeps running after its lease has expired.
	 * @param job a job that holds capacity
	 * @param nowMillis the time of the round
	 * @return {@code true} if the lease duration and its margin have passed
	 */
	public boolean hasExpired(JobRecord job, long nowMillis) {
		return job.spec().repeatable() && leasePeriodHasPassed(job, nowMillis);
	}

	/**
	 * Returns when {@link #hasExpired} becomes true for a job unless its lease is
	 * renewed.
	 * @param job a job that holds capacity
	 * @return the time in milliseconds since the epoch, or {@link Long#MAX_VALUE} if the
	 * lease never expires
	 */
	long expiryMillis(JobRecord job) {
		Renewal known = this.renewals.get(job.id());
		boolean lapses = job.spec().repeatable() && known != null && known.leaseEpoch == job.leaseEpoch();
		return lapses ? known.renewedMillis + this.settings.expiryMillis() : Long.MAX_VALUE;
	}

	/**
	 * Returns whether the lease duration and its margin have passed since the last
	 * renewal, for repeatable and other jobs alike.
	 * @param job a job that holds capacity
	 * @param nowMillis the time of the round
	 * @return {@code true} if the period has passed
	 */
	public boolean leasePeriodHasPassed(JobRecord job, long nowMillis) {
		Renewal known = this.renewals.get(job.id());
		return known != null && known.leaseEpoch == job.leaseEpoch()
				&& nowMillis - known.renewedMillis >= this.settings.expiryMillis();
	}

	/** Last lease renewal of one job. */
	private static final class Renewal {

		private long leaseEpoch = NO_EPOCH;

		private long renewedMillis;

		private long lastSeenRound;

		private void restartIfNew(long newEpoch, long nowMillis) {
			if (this.leaseEpoch != newEpoch) {
				this.leaseEpoch = newEpoch;
				this.renewedMillis = nowMillis;
			}
		}

	}

}
