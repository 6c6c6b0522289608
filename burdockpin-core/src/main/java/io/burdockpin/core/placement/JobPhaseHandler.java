package io.burdockpin.core.placement;

import java.util.Optional;

import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;

/**
 * Maps each job phase that a worker reports to the command that updates the replicated
 * state.
 */
enum JobPhaseHandler {

	RUNNING(JobPhase.RUNNING, true) {
		@Override
		Optional<Command> commandFor(JobRecord job, JobReport report) {
			if (job.state() != JobState.PLACED) {
				return Optional.empty();
			}
			return Optional.of(new JobCommand.ConfirmStart(job.id(), report.leaseEpoch()));
		}
	},

	SUCCEEDED(JobPhase.SUCCEEDED, false) {
		@Override
		Optional<Command> commandFor(JobRecord job, JobReport report) {
			return Optional.of(new JobCommand.FinishJob(job.id(), report.leaseEpoch(), true, report.content()));
		}
	},

	FAILED(JobPhase.FAILED, false) {
		@Override
		Optional<Command> commandFor(JobRecord job, JobReport report) {
			return Optional.of(new JobCommand.FinishJob(job.id(), report.leaseEpoch(), false, report.content()));
		}
	},

	STOPPED(JobPhase.STOPPED, false) {
		@Override
		Optional<Command> commandFor(JobRecord job, JobReport report) {
			return Optional.of(new JobCommand.InterruptJob(job.id(), report.leaseEpoch(), false, report.content()));
		}
	},

	NOT_STARTED(JobPhase.NOT_STARTED, false) {
		@Override
		Optional<Command> commandFor(JobRecord job, JobReport report) {
			return Optional.of(new JobCommand.InterruptJob(job.id(), report.leaseEpoch(), true, job.checkpoint()));
		}
	};

	private final JobPhase phase;

	private final boolean occupiesWorker;

	JobPhaseHandler(JobPhase phase, boolean occupiesWorker) {
		this.phase = phase;
		this.occupiesWorker = occupiesWorker;
	}

	static JobPhaseHandler of(JobPhase phase) {
		for (JobPhaseHandler handler : values()) {
			if (handler.phase == phase) {
				return handler;
			}
		}
		throw new IllegalArgumentException("no handler for phase " + phase);
	}

	/**
	 * Returns the command that records the reported phase.
	 * @param job the replicated record of the job
	 * @param report the report of the worker
	 * @return the command, or empty if the state already reflects the phase
	 */
	abstract Optional<Command> commandFor(JobRecord job, JobReport report);

	boolean occupiesWorker() {
		return this.occupiesWorker;
	}

}
