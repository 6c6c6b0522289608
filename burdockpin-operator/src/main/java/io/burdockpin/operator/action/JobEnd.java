package io.burdockpin.operator.action;

import io.burdockpin.core.model.Payload;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;

/** How a job ended whose worker cannot report it any more. */
enum JobEnd {

	/** It ended well; its result is lost. */
	SUCCEEDED {
		@Override
		JobCommand command(JobRecord job) {
			return new JobCommand.FinishJob(job.id(), job.leaseEpoch(), true, Payload.EMPTY);
		}
	},

	/** It ended with an error of its own. */
	FAILED {
		@Override
		JobCommand command(JobRecord job) {
			return new JobCommand.FinishJob(job.id(), job.leaseEpoch(), false, Payload.EMPTY);
		}
	},

	/** It certainly never started, so it may be placed again. */
	NOT_STARTED {
		@Override
		JobCommand command(JobRecord job) {
			return new JobCommand.InterruptJob(job.id(), job.leaseEpoch(), true, Payload.EMPTY);
		}
	},

	/** It does not run any more and nothing else is known. */
	UNKNOWN {
		@Override
		JobCommand command(JobRecord job) {
			return new JobCommand.InterruptJob(job.id(), job.leaseEpoch(), false, job.checkpoint());
		}
	};

	abstract JobCommand command(JobRecord job);

}
