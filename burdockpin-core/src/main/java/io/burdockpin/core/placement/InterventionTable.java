package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.state.JobRecord;

/**
 * Pending orders about running jobs, which are delivered in the reply to the worker's
 * next report. An order is sent again after each report until the lease epoch of the job
 * ends or another order replaces it. Not thread-safe; owned by one planner.
 */
public final class InterventionTable {

	private final Map<JobId, JobIntervention> pending = new HashMap<>();

	// life cycle

	/** Discards all orders at the start of a new term. */
	public void reset() {
		this.pending.clear();
	}

	/**
	 * Adds an order, which replaces an earlier one for the same job. A stop is never
	 * replaced by another kind of order.
	 * @param intervention the order to deliver
	 */
	public void add(JobIntervention intervention) {
		this.pending.merge(intervention.job(), intervention, InterventionTable::moreSevere);
	}

	/**
	 * Removes orders whose job no longer holds capacity under their lease epoch.
	 * @param jobs the jobs of the newest view
	 */
	public void retain(JobIndex jobs) {
		this.pending.values().removeIf((intervention) -> !isCurrent(intervention, jobs.find(intervention.job())));
	}

	/**
	 * Handles the delivery of an order. A checkpoint order is removed after it has been
	 * sent once; all other orders are idempotent and stay pending.
	 * @param intervention the order that was sent
	 */
	public void onSent(JobIntervention intervention) {
		if (intervention.kind() == JobOrderKind.CHECKPOINT) {
			this.pending.remove(intervention.job());
		}
	}

	// access

	/**
	 * Returns the pending order for a job.
	 * @param job the current record of the job
	 * @return the order, or empty if there is none for the current lease epoch
	 */
	public Optional<JobIntervention> pendingFor(JobRecord job) {
		return Optional.ofNullable(this.pending.get(job.id())).filter((order) -> isCurrent(order, Optional.of(job)));
	}

	/**
	 * Returns whether a job is about to stop and free its capacity.
	 * @param job the current record of the job
	 * @return {@code true} if a stop is pending or the job has been cancelled
	 */
	public boolean isStopping(JobRecord job) {
		return job.cancelRequested()
				|| pendingFor(job).filter((order) -> order.kind() == JobOrderKind.STOP).isPresent();
	}

	// helpers

	private static boolean isCurrent(JobIntervention intervention, Optional<JobRecord> job) {
		return job.filter((record) -> record.state().holdsCapacity())
			.filter((record) -> record.leaseEpoch() == intervention.leaseEpoch())
			.isPresent();
	}

	private static JobIntervention moreSevere(JobIntervention old, JobIntervention added) {
		boolean keepsOld = old.leaseEpoch() >= added.leaseEpoch() && old.kind() == JobOrderKind.STOP;
		return keepsOld ? old : added;
	}

}
