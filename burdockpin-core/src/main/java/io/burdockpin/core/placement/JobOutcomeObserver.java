package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;

/**
 * Passes reported usage to the usage estimator, and job outcomes to the estimator and the
 * worker health table. Workers repeat the outcome of a job in their reports; each outcome
 * is passed on once. Not thread-safe; has the same owner as the estimator and the table.
 */
final class JobOutcomeObserver implements JobObserver {

	/**
	 * After this many quick failures the job itself is the likely cause and is not
	 * retried.
	 */
	private static final int MAXIMUM_QUICK_FAILURES = 2;

	private final UsageEstimator estimator;

	private final WorkerHealth health;

	private final Map<JobId, Long> lastEndedEpochs = new HashMap<>();

	JobOutcomeObserver(UsageEstimator estimator, WorkerHealth health) {
		this.estimator = estimator;
		this.health = health;
	}

	// life cycle

	@Override
	public Optional<Command> observe(JobRecord job, JobReport report, HostName worker, long nowMillis) {
		if (report.phase() == JobPhase.RUNNING) {
			this.estimator.recordUsage(job, report.usage(), nowMillis);
			return Optional.empty();
		}
		if (report.phase() != JobPhase.NOT_STARTED && isFirstReport(job)) {
			recordOutcome(job, report.phase(), worker, nowMillis);
		}
		return (report.phase() == JobPhase.FAILED) ? retryElsewhere(job) : Optional.empty();
	}

	void retain(JobIndex jobs) {
		this.lastEndedEpochs.keySet().removeIf((id) -> jobs.find(id).filter((job) -> !job.state().ended()).isEmpty());
	}

	// helpers

	private boolean isFirstReport(JobRecord job) {
		Long known = this.lastEndedEpochs.put(job.id(), job.leaseEpoch());
		return known == null || known != job.leaseEpoch();
	}

	private void recordOutcome(JobRecord job, JobPhase phase, HostName worker, long nowMillis) {
		this.estimator.recordEnd(job, phase == JobPhase.SUCCEEDED, nowMillis);
		if (phase == JobPhase.SUCCEEDED) {
			this.health.recordSuccess(job.id(), worker);
		}
		else if (phase == JobPhase.FAILED) {
			this.health.recordFailure(job, worker, nowMillis);
		}
	}

	private Optional<Command> retryElsewhere(JobRecord job) {
		// The first quick failure may be caused by the worker.
		int failures = this.health.failureCount(job.id());
		boolean retry = job.spec().repeatable() && !job.cancelRequested() && failures > 0
				&& failures < MAXIMUM_QUICK_FAILURES;
		if (!retry) {
			return Optional.empty();
		}
		return Optional.of(new JobCommand.InterruptJob(job.id(), job.leaseEpoch(), false, job.checkpoint()));
	}

}
