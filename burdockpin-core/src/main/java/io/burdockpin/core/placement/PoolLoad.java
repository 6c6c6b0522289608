package io.burdockpin.core.placement;

import java.util.ArrayList;
import java.util.List;

import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Resources;

/**
 * The workers of one pool in one round, with the demands that did not fit. Mutable, used
 * within one round only.
 */
final class PoolLoad {

	/** More remembered demands would cost more to compare than a scan saves. */
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
	 * Remembers that a demand fits no worker in this round, so that equal and larger ones
	 * need no scan.
	 * @param demand what did not fit
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
		for (Resources blocked : this.unplaceableDemands) {
			if (blocked.fitsIn(demand)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Tells whether a demand fits an empty worker of the pool in any state. Workers that
	 * are out now come back.
	 * @param demand the demand
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
	 * Limits an estimate to what an empty worker has, so that a job whose declaration
	 * fits is never held back by an estimate that does not.
	 * @param estimate the estimated demand
	 * @param declared the declared demand
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
