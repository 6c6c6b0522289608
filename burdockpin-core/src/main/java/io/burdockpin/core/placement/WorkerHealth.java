package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.state.JobRecord;

/**
 * Finds workers that fail everything they start. Mutable, owned by one planner.
 * <p>
 * Only different jobs count, and a job that failed on two workers counts against neither,
 * because then the job is the likely cause.
 */
public final class WorkerHealth {

	private static final int MAXIMUM_DOUBLINGS = 20;

	private final HealthSettings settings;

	private final Map<HostName, FailureStreak> streaks = new HashMap<>();

	private final Map<JobId, Map<Long, HostName>> failedStarts = new HashMap<>();

	/**
	 * Creates a table without failures.
	 * @param settings when to set workers aside
	 */
	public WorkerHealth(HealthSettings settings) {
		this.settings = settings;
	}

	// life cycle

	/**
	 * Takes a job that failed.
	 * @param job the job, whose state changed last when it started
	 * @param worker where it failed
	 * @param nowMillis when it failed
	 */
	public void recordFailure(JobRecord job, HostName worker, long nowMillis) {
		if (nowMillis - job.changedMillis() >= this.settings.quickFailureMillis()) {
			return;
		}
		Map<Long, HostName> hostByEpoch = this.failedStarts.computeIfAbsent(job.id(), (id) -> new HashMap<>());
		hostByEpoch.put(job.leaseEpoch(), worker);
		Set<HostName> hosts = Set.copyOf(hostByEpoch.values());
		if (hosts.size() > 1) {
			hosts.forEach((host) -> streakOf(host).jobs.remove(job.id()));
		}
		else {
			streakOf(worker).jobs.add(job.id());
		}
	}

	/**
	 * Takes a job that ran well.
	 * @param job the job
	 * @param worker where it ran
	 */
	public void recordSuccess(JobId job, HostName worker) {
		this.failedStarts.remove(job);
		this.streaks.remove(worker);
	}

	/**
	 * Takes that a worker has been set aside.
	 * @param worker the worker
	 * @param nowMillis when it was
	 */
	public void recordSetAside(HostName worker, long nowMillis) {
		FailureStreak streak = streakOf(worker);
		streak.jobs.clear();
		streak.setAsideCount++;
		streak.setAsideUntilMillis = nowMillis + retryDelayMillis(streak.setAsideCount);
	}

	/**
	 * Forgets jobs that have ended.
	 * @param jobs the jobs of the newest view
	 */
	public void retain(JobIndex jobs) {
		this.failedStarts.keySet().removeIf((id) -> jobs.find(id).filter((job) -> !job.state().ended()).isEmpty());
	}

	// access

	/**
	 * Tells whether a worker has failed enough different jobs to be set aside.
	 * @param worker the worker
	 * @return {@code true} if it has
	 */
	public boolean hasReachedFailureThreshold(HostName worker) {
		FailureStreak streak = this.streaks.get(worker);
		return streak != null && streak.jobs.size() >= this.settings.failedJobThreshold();
	}

	/**
	 * Tells whether a job has failed on a worker.
	 * @param job the job
	 * @param worker the worker
	 * @return {@code true} if it should be tried elsewhere
	 */
	public boolean hasFailedOn(JobId job, HostName worker) {
		return this.failedStarts.getOrDefault(job, Map.of()).containsValue(worker);
	}

	/**
	 * Returns how often a job has failed quickly.
	 * @param job the job
	 * @return the number of starts that failed
	 */
	public int failureCount(JobId job) {
		return this.failedStarts.getOrDefault(job, Map.of()).size();
	}

	/**
	 * Tells whether a worker that was set aside may be tried again. A new leader does not
	 * know since when it is aside and starts the period anew.
	 * @param worker the worker
	 * @param nowMillis the time of the round
	 * @return {@code true} if the period has passed
	 */
	public boolean isRetryDue(HostName worker, long nowMillis) {
		FailureStreak streak = streakOf(worker);
		if (streak.setAsideCount == 0) {
			recordSetAside(worker, nowMillis);
		}
		return nowMillis >= streak.setAsideUntilMillis;
	}

	/**
	 * Tells whether a worker has yet to prove that it can run jobs again.
	 * @param worker the worker
	 * @return {@code true} after it was set aside, until a job succeeds
	 */
	public boolean isOnProbation(HostName worker) {
		FailureStreak streak = this.streaks.get(worker);
		return streak != null && streak.setAsideCount > 0;
	}

	HealthSettings settings() {
		return this.settings;
	}

	// helpers

	private FailureStreak streakOf(HostName worker) {
		return this.streaks.computeIfAbsent(worker, (host) -> new FailureStreak());
	}

	private long retryDelayMillis(int setAsideCount) {
		int doublings = Math.min(MAXIMUM_DOUBLINGS, setAsideCount - 1);
		return Math.min(this.settings.longestRetryMillis(), this.settings.firstRetryMillis() << doublings);
	}

	private static final class FailureStreak {

		private final Set<JobId> jobs = new HashSet<>();

		private int setAsideCount;

		private long setAsideUntilMillis;

	}

}
