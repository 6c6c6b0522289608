package io.burdockpin.core.state;

import java.util.Optional;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;

/**
 * A job in the replicated state.
 *
 * @param id identifier of the job
 * @param spec definition of the job; without its payload after the end
 * @param state the current state
 * @param worker the worker it is placed on, or was placed on when it ended
 * @param leaseEpoch the current lease epoch, 0 before the first placement
 * @param cancelRequested whether its cancellation has been requested
 * @param submittedMillis when it was accepted, in milliseconds since the epoch
 * @param changedMillis when its state last changed, in milliseconds since the epoch
 * @param moveCount how often it returned to the waiting jobs after it had started
 * @param detail the reason for a parked, failed or unknown state, or an empty string
 * @param checkpoint the newest checkpoint, or no bytes
 * @param result the output of the job, or no bytes
 */
public record JobRecord(JobId id, JobSpec spec, JobState state, Optional<HostName> worker, long leaseEpoch,
		boolean cancelRequested, long submittedMillis, long changedMillis, int moveCount, String detail,
		Payload checkpoint, Payload result) {

}
