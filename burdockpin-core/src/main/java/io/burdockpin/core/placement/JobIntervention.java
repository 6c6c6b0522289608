package io.burdockpin.core.placement;

import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;

/**
 * Order about a running job that is to be delivered in the reply to the worker's next
 * report. Immutable.
 *
 * @param worker the worker that runs the job
 * @param job the job that the order applies to
 * @param leaseEpoch the lease epoch that the order is valid for
 * @param kind the action to take
 * @param throttlePercent processor share that the job keeps; used only by throttle orders
 * @param reason explanation for operators
 */
public record JobIntervention(HostName worker, JobId job, long leaseEpoch, JobOrderKind kind, int throttlePercent,
		String reason) {
}
