package io.burdockpin.core.batch.call;

import java.util.Optional;

import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.JobSpec;

/** Decides whether a job that is not known yet can be accepted. */
@FunctionalInterface
public interface JobAdmission {

	/** Accepts all jobs. */
	JobAdmission ALWAYS = (job, queue, workspace, spec) -> Optional.empty();

	/**
	 * Decides about a job.
	 * @param job identifier of the job
	 * @param queue queue that it is submitted to
	 * @param workspace workspace of the caller; empty for an open queue without a key
	 * @param spec specification of the job
	 * @return delay before a retry in milliseconds if the job is rejected; empty if it is
	 * accepted
	 */
	Optional<Integer> retryAfterMillis(String job, BatchQueue queue, String workspace, JobSpec spec);

}
