package io.burdockpin.entry.http;

import java.util.Optional;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.state.JobRecord;

/**
 * Body of the answer to {@code GET /v1/jobs/{id}}.
 *
 * @param job the job
 * @param state how far it got
 * @param worker where it is placed
 * @param submittedMillis when it was accepted, in milliseconds since the epoch
 * @param changedMillis when its state last changed, in milliseconds since the epoch
 * @param moveCount how often it was placed again
 * @param cancelRequested whether it is to stop
 * @param detail the reason for a parked, failed or unknown state
 * @param current whether the answer is confirmed by a majority
 * @param index applied log index of the answering control member
 */
record JobView(String job, String state, Optional<String> worker, long submittedMillis, long changedMillis,
		int moveCount, boolean cancelRequested, String detail, boolean current, long index) {

	static JobView of(JobRecord job, boolean current, long index) {
		return new JobView(job.id().value(), job.state().name(), job.worker().map(HostName::value),
				job.submittedMillis(), job.changedMillis(), job.moveCount(), job.cancelRequested(), job.detail(),
				current, index);
	}

}
