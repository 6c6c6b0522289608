package io.burdockpin.core.placement;

import java.util.Optional;

import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.JobRecord;

/** Passes reported usage and ends to the estimator. Shares the estimator's owner. */
final class OutcomeObserver implements JobObserver {

	private final UsageEstimator estimator;

	OutcomeObserver(UsageEstimator estimator) {
		this.estimator = estimator;
	}

	@Override
	public Optional<Command> observe(JobRecord job, JobReport report, HostName worker, long nowMillis) {
		if (report.phase() == JobPhase.RUNNING) {
			this.estimator.observe(job, report.usage(), nowMillis);
		}
		else if (report.phase() != JobPhase.NOT_STARTED) {
			this.estimator.ended(job, report.phase() == JobPhase.SUCCEEDED, nowMillis);
		}
		return Optional.empty();
	}

}
