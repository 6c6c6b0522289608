package io.burdockpin.core.placement;

import java.util.ArrayList;
import java.util.List;

import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Resources;

/**
 * Workers of one pool and the demands that fit none of them. Not thread-safe; valid for
 * one round only.
 */
final class PoolLoad {

	/** Comparing with more demands would cost more than the skipped scans save. */
	private static final int MAXIMUM_UNPLACEABLE_DEMANDS = 8;

	private final PoolName name;

	private final List<WorkerLoad> workers = new ArrayList<>();

	private final List<Resources> unplaceableDemands = new ArrayList<>();

	PoolLoad(PoolName name) {
		this.name = name;
	}

	// configuration

	void add(WorkerLoad worker) {
		this.workers.add(worker);
	}

	/**
	 * Records that a demand fits no worker in this round, so that the scan is skipped for
	 * equal and larger demands.
	 * @param demand the demand that did not fit
	 */
	void recordUnplaceable(Resources demand) {
		this.unplaceableDemands.removeIf(demand::fitsIn);
		if (this.unplaceableDemands.size() < MAXIMUM_UNPLACEABLE_DEMANDS) {
			this.unplaceableDemands.add(demand);
		}
	}

	// access

	PoolName name() {
		return this.name;
	}

	List<WorkerLoad> workers() {
		return this.workers;
	}

	boolean isUnplaceable(Resources demand) {
		for (Resources unplaceable : this.unplaceableDemands) {
			if (unplaceable.fitsIn(demand)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns whether a demand fits an empty worker of the pool. Workers in all states
	 * are included, because unavailable ones are expected to return.
	 * @param demand the required capacity
	 * @return {@code true} if some worker is large enough
	 */
	boolean fitsEmptyWorker(Resources demand) {
		for (WorkerLoad worker : this.workers) {
			if (demand.fitsIn(worker.capacity())) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Limits an estimate to the declared size if the estimate fits no empty worker, so
	 * that a job with a fitting declaration is never held back by its estimate.
	 * @param estimate the estimated usage of a job
	 * @param declared the declared size of the job
	 * @return the demand to place the job with
	 */
	Resources limitToPool(Resources estimate, Resources declared) {
		if (fitsEmptyWorker(estimate)) {
			return estimate;
		}
		return minimum(estimate, declared);
	}

	// helpers

	private static Resources minimum(Resources first, Resources second) {
		return new Resources(Math.min(first.cpuMillicores(), second.cpuMillicores()),
				Math.min(first.memoryMebibytes(), second.memoryMebibytes()),
				Math.min(first.accelerators(), second.accelerators()));
	}

}
