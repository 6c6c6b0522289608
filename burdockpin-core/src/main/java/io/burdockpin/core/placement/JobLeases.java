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

	/** Jobs that hold no capacity any more are forgotten only every so many rounds. */
	private static final int CLEANUP_PERIOD_ROUNDS = 16;

	private static final long NO_EPOCH = -1;

	private final LeaseSettings settings;

	private final Map<JobId, Renewal> renewals = new HashMap<>();

	private long roundNumber;

	/**
	 * Creates an empty table.
	 * @param settings the periods
	 */
	public JobLeases(LeaseSettings settings) {
		this.settings = settings;
	}

	// life cycle

	/** Forgets all renewals, as a new leader does. */
	public void reset() {
		this.renewals.clear();
	}

	/**
	 * Takes the jobs of a round: starts the period of jobs seen for the first time and
	 * forgets jobs that no longer hold capacity.
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
	 * Records that the leader renews a lease.
	 * @param job the job
	 * @param leaseEpoch the epoch that the worker reported
	 * @param nowMillis the time of the renewal
	 */
	public void renew(JobId job, long leaseEpoch, long nowMillis) {
		Renewal renewal = this.renewals.computeIfAbsent(job, (id) -> new Renewal());
		renewal.leaseEpoch = leaseEpoch;
		renewal.renewedMillis = nowMillis;
		renewal.lastSeenRound = this.roundNumber;
	}

	/**
	 * Tells whether a job certainly runs no more under its lease. This never holds for a
	 * job that is not repeatable, because such a job runs on without a lease.
	 * @param job a job that holds capacity
	 * @param nowMillis the time of the round
	 * @return {@code true} if the lease and the margin have passed
	 */
	public boolean hasExpired(JobRecord job, long nowMillis) {
		return job.spec().repeatable() && leasePeriodHasPassed(job, nowMillis);
	}

	/**
	 * Returns when {@link #hasExpired} will hold for a job unless its lease is renewed.
	 * @param job a job that holds capacity
	 * @return the time, or {@link Long#MAX_VALUE} if it will not
	 */
	long expiryMillis(JobRecord job) {
		Renewal known = this.renewals.get(job.id());
		boolean lapses = job.spec().repeatable() && known != null && known.leaseEpoch == job.leaseEpoch();
		return lapses ? known.renewedMillis + this.settings.expiryMillis() : Long.MAX_VALUE;
	}

	/**
	 * Tells whether the lease and the margin have passed since the last renewal.
	 * @param job a job that holds capacity
	 * @param nowMillis the time of the round
	 * @return {@code true} if the period has passed
	 */
	public boolean leasePeriodHasPassed(JobRecord job, long nowMillis) {
		Renewal known = this.renewals.get(job.id());
		return known != null && known.leaseEpoch == job.leaseEpoch()
				&& nowMillis - known.renewedMillis >= this.settings.expiryMillis();
	}

	/** The last renewal of one job. */
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
