package io.burdockpin.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.state.JobRecord;

/**
 * Orders about running jobs that wait for the worker's next report. An order is repeated
 * with each report until the job's epoch ends or another order replaces it. Mutable,
 * owned by one planner.
 */
public final class InterventionTable {

	private final Map<JobId, JobIntervention> pending = new HashMap<>();

	// life cycle

	/** Forgets all orders, as a new leader does. */
	public void reset() {
		this.pending.clear();
	}

	/**
	 * Adds an order. A stop is never replaced by a milder order.
	 * @param intervention the order
	 */
	public void add(JobIntervention intervention) {
		this.pending.merge(intervention.job(), intervention, InterventionTable::moreSevere);
	}

	/**
	 * Removes the orders whose job no longer runs under their epoch.
	 * @param jobs the jobs of the newest view
	 */
	public void retain(JobIndex jobs) {
		this.pending.values().removeIf((intervention) -> !isCurrent(intervention, jobs.find(intervention.job())));
	}

	/**
	 * Takes that an order has been sent. A checkpoint is asked for once; the other orders
	 * are repeated, because repeating them changes nothing.
	 * @param intervention the order
	 */
	public void onSent(JobIntervention intervention) {
		if (intervention.kind() == JobOrderKind.CHECKPOINT) {
			this.pending.remove(intervention.job());
		}
	}

	// access

	/**
	 * Finds the order about a job.
	 * @param job the job
	 * @return the order, or nothing if there is none for the job's epoch
	 */
	public Optional<JobIntervention> pendingFor(JobRecord job) {
		return Optional.ofNullable(this.pending.get(job.id())).filter((order) -> isCurrent(order, Optional.of(job)));
	}

	/**
	 * Tells whether a job has been ordered to stop.
	 * @param job the job
	 * @return {@code true} if its capacity is about to become free
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
