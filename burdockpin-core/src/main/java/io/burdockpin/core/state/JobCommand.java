package io.burdockpin.core.state;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.TeamName;

/** A change of a job. */
public sealed interface JobCommand extends Command {

	/**
	 * Accepts a job. Idempotent: a second submission with the same identifier changes
	 * nothing.
	 *
	 * @param job identifier of the job
	 * @param spec definition of the job
	 */
	record SubmitJob(JobId job, JobSpec spec) implements JobCommand {

	}

	/**
	 * Places a waiting job on a worker under a new lease epoch.
	 *
	 * @param job identifier of the job
	 * @param worker name of the worker that is to run the job
	 * @param leaseEpoch the new lease epoch, higher than all earlier ones of the job
	 */
	record PlaceJob(JobId job, HostName worker, long leaseEpoch) implements JobCommand {

	}

	/**
	 * Records that the worker has started the job.
	 *
	 * @param job identifier of the job
	 * @param leaseEpoch the lease epoch under which the worker runs the job
	 */
	record ConfirmStart(JobId job, long leaseEpoch) implements JobCommand {

	}

	/**
	 * Records the end of a job.
	 *
	 * @param job identifier of the job
	 * @param leaseEpoch the lease epoch under which the worker runs the job
	 * @param succeeded whether the job reported success
	 * @param result the output of the job
	 */
	record FinishJob(JobId job, long leaseEpoch, boolean succeeded, Payload result) implements JobCommand {

	}

	/**
	 * Records that a job stopped running before its end. A repeatable job returns to the
	 * waiting jobs with its checkpoint. A job that is not repeatable ends with an unknown
	 * outcome, unless it certainly never started.
	 *
	 * @param job identifier of the job
	 * @param leaseEpoch the lease epoch that ended
	 * @param certainlyNotStarted whether the worker confirmed that it never started the
	 * job
	 * @param checkpoint the newest checkpoint, or no bytes
	 */
	record InterruptJob(JobId job, long leaseEpoch, boolean certainlyNotStarted,
			Payload checkpoint) implements JobCommand {

	}

	/**
	 * Cancels a job. A running job occupies capacity until its worker confirms the stop.
	 *
	 * @param job identifier of the job
	 * @param team the requesting team, which must own the job
	 */
	record CancelJob(JobId job, TeamName team) implements JobCommand {

	}

	/**
	 * Parks a job that fits no host of its pool, so that it is no longer considered for
	 * placement.
	 *
	 * @param job identifier of the job
	 * @param reason why it cannot run
	 */
	record ParkJob(JobId job, String reason) implements JobCommand {

	}

	/**
	 * Returns a parked job to the waiting jobs.
	 *
	 * @param job identifier of the parked job
	 */
	record UnparkJob(JobId job) implements JobCommand {

	}

	/**
	 * Removes the result of an ended job that its team has fetched.
	 *
	 * @param job identifier of the job
	 * @param team the requesting team, which must own the job
	 */
	record AcknowledgeResult(JobId job, TeamName team) implements JobCommand {

	}

}
