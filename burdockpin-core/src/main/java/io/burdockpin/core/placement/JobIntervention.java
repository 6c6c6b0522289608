package io.burdockpin.core.placement;

import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;

/**
 * An order about a running job that the planner wants the worker to get with its next
 * report.
 *
 * @param worker the worker that runs the job
 * @param job the job
 * @param leaseEpoch the epoch it is valid for
 * @param kind what to do
 * @param throttlePercent processor share that is left to the job, for a throttle
 * @param reason why, for operators
 */
public record JobIntervention(HostName worker, JobId job, long leaseEpoch, JobOrderKind kind, int throttlePercent,
		String reason) {
}
