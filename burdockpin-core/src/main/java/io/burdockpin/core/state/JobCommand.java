package io.burdockpin.core.state;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.TeamName;

/** A change of a job. */
public sealed interface JobCommand extends Command {

	/**
	 * Accepts a job. A second submission with the same identifier changes nothing.
	 *
	 * @param job the job
	 * @param spec what to run
	 */
	record SubmitJob(JobId job, JobSpec spec) implements JobCommand {

	}

	/**
	 * Places a waiting job on a worker under a new lease epoch.
	 *
	 * @param job the job
	 * @param worker the worker
	 * @param leaseEpoch higher than any earlier epoch of the job
	 */
	record PlaceJob(JobId job, HostName worker, long leaseEpoch) implements JobCommand {

	}

	/**
	 * Records that the worker has started the job.
	 *
	 * @param job the job
	 * @param leaseEpoch the epoch the worker reports
	 */
	record ConfirmStart(JobId job, long leaseEpoch) implements JobCommand {

	}

	/**
	 * Records the end of a job.
	 *
	 * @param job the job
	 * @param leaseEpoch the epoch the worker reports
	 * @param succeeded whether the job itself reports success
	 * @param result what the job produced
	 */
	record FinishJob(JobId job, long leaseEpoch, boolean succeeded, Payload result) implements JobCommand {

	}

	/**
	 * Records that a job no longer runs and has not ended. A repeatable job waits again
	 * with its checkpoint; another one ends with an unknown outcome unless it certainly
	 * never started.
	 *
	 * @param job the job
	 * @param leaseEpoch the epoch that ended
	 * @param certainlyNotStarted whether the worker confirmed that it never started the
	 * job
	 * @param checkpoint the newest checkpoint, or no bytes
	 */
	record InterruptJob(JobId job, long leaseEpoch, boolean certainlyNotStarted,
			Payload checkpoint) implements JobCommand {

	}

	/**
	 * Cancels a job. A running job holds capacity until its worker confirms the stop.
	 *
	 * @param job the job
	 * @param team the team that asks
	 */
	record CancelJob(JobId job, TeamName team) implements JobCommand {

	}

	/**
	 * Sets a job aside that fits no host of its pool.
	 *
	 * @param job the job
	 * @param reason why it cannot run
	 */
	record ParkJob(JobId job, String reason) implements JobCommand {

	}

	/**
	 * Returns a parked job to the waiting ones.
	 *
	 * @param job the job
	 */
	record UnparkJob(JobId job) implements JobCommand {

	}

	/**
	 * Removes the result of an ended job that its team has fetched.
	 *
	 * @param job the job
	 * @param team the team that asks
	 */
	record AcknowledgeResult(JobId job, TeamName team) implements JobCommand {

	}

}
