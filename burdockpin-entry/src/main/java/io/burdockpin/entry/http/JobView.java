package io.burdockpin.entry.http;

import java.util.Optional;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.state.JobRecord;

/**
 * Body of the answer to {@code GET /v1/jobs/{id}}.
 *
 * @param job identifier of the job
 * @param state state of the job
 * @param worker host that the job is placed on, if any
 * @param submittedMillis time of the submission in milliseconds since the epoch
 * @param changedMillis time of the last change of state in milliseconds since the epoch
 * @param moveCount number of times that the job was placed again
 * @param cancelRequested whether cancellation was requested
 * @param detail reason of a parked, failed or unknown state
 * @param current whether a majority confirmed that the answer is up to date
 * @param index log index that the answering control member has applied
 */
record JobView(String job, String state, Optional<String> worker, long submittedMillis, long changedMillis,
		int moveCount, boolean cancelRequested, String detail, boolean current, long index) {

	static JobView of(JobRecord job, boolean current, long index) {
		return new JobView(job.id().value(), job.state().name(), job.worker().map(HostName::value),
				job.submittedMillis(), job.changedMillis(), job.moveCount(), job.cancelRequested(), job.detail(),
				current, index);
	}

}
