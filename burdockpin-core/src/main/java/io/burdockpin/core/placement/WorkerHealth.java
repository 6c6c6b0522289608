package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.state.JobRecord;

/**
 * Detects workers on which all jobs fail. Not thread-safe; owned by one planner.
 * <p>
 * Failures are counted per job. A job that failed on two workers counts against neither,
 * because then the job is the likely cause.
 */
public final class WorkerHealth {

	private static final int MAXIMUM_DOUBLINGS = 20;

	private final HealthSettings settings;

	private final Map<HostName, FailureStreak> streaks = new HashMap<>();

	private final Map<JobId, Map<Long, HostName>> failedStarts = new HashMap<>();

	/**
	 * Creates a table without failures.
	 * @param settings the thresholds and retry delays
	 */
	public WorkerHealth(HealthSettings settings) {
		this.settings = settings;
	}

	// life cycle

	/**
	 * Records the failure of a job if it failed quickly.
	 * @param job the replicated record of the job, last changed when the job started
	 * @param worker the worker that ran the job
	 * @param nowMillis when the job failed
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
	 * Records the success of a job, which clears the failures of the job and of the
	 * worker.
	 * @param job the job that succeeded
	 * @param worker the worker that ran the job
	 */
	public void recordSuccess(JobId job, HostName worker) {
		this.failedStarts.remove(job);
		this.streaks.remove(worker);
	}

	/**
	 * Records that a worker is set aside and starts its retry delay.
	 * @param worker the host name of the worker
	 * @param nowMillis when the worker was set aside
	 */
	public void recordSetAside(HostName worker, long nowMillis) {
		FailureStreak streak = streakOf(worker);
		streak.jobs.clear();
		streak.setAsideCount++;
		streak.setAsideUntilMillis = nowMillis + retryDelayMillis(streak.setAsideCount);
	}

	/**
	 * Removes the failures of jobs that have ended.
	 * @param jobs the jobs of the newest view
	 */
	public void retain(JobIndex jobs) {
		this.failedStarts.keySet().removeIf((id) -> jobs.find(id).filter((job) -> !job.state().ended()).isEmpty());
	}

	// access

	/**
	 * Returns whether enough different jobs have failed on a worker to set it aside.
	 * @param worker the host name of the worker
	 * @return {@code true} if the threshold is reached
	 */
	public boolean hasReachedFailureThreshold(HostName worker) {
		FailureStreak streak = this.streaks.get(worker);
		return streak != null && streak.jobs.size() >= this.settings.failedJobThreshold();
	}

	/**
	 * Returns whether a job has failed quickly on a worker.
	 * @param job the identifier of the job
	 * @param worker the host name of the worker
	 * @return {@code true} if other workers should be preferred for the job
	 */
	public boolean hasFailedOn(JobId job, HostName worker) {
		return this.failedStarts.getOrDefault(job, Map.of()).containsValue(worker);
	}

	/**
	 * Returns how often a job has failed quickly.
	 * @param job the identifier of the job
	 * @return the number of failed starts
	 */
	public int failureCount(JobId job) {
		return this.failedStarts.getOrDefault(job, Map.of()).size();
	}

	/**
	 * Returns whether a worker that is set aside may be retried. If it is unknown when
	 * the worker was set aside, for example after a change of leader, the retry delay
	 * starts with this call.
	 * @param worker the host name of the worker
	 * @param nowMillis the time of the round
	 * @return {@code true} if the retry delay has passed
	 */
	public boolean isRetryDue(HostName worker, long nowMillis) {
		FailureStreak streak = streakOf(worker);
		if (streak.setAsideCount == 0) {
			recordSetAside(worker, nowMillis);
		}
		return nowMillis >= streak.setAsideUntilMillis;
	}

	/**
	 * Returns whether a worker is on probation after it was set aside.
	 * @param worker the host name of the worker
	 * @return {@code true} until a job succeeds on the worker
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
