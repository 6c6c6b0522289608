package io.burdockpin.core.batch.lead.plan;

import java.util.Collection;
import java.util.List;

import io.burdockpin.core.batch.lead.place.Candidate;
import io.burdockpin.core.model.Resources;

/** Capacity of a pool now and until a later time. Immutable. */
final class PoolSupply {

	private final Resources free;

	/** Capacity that long-running tasks do not use. */
	private final Resources forFinite;

	/** Delays until the hosts on their way arrive. */
	private final List<Long> arrivalMillis;

	private final double meanHostMillicores;

	private PoolSupply(Resources free, Resources forFinite, List<Long> arrivalMillis, double meanHostMillicores) {
		this.free = free;
		this.forFinite = forFinite;
		this.arrivalMillis = List.copyOf(arrivalMillis);
		this.meanHostMillicores = meanHostMillicores;
	}

	/**
	 * Adds up the runners of a pool.
	 * @param candidates runners that accept new tasks
	 * @param arrivalMillis delays until the hosts on their way arrive, in milliseconds
	 * @return capacity of the pool
	 */
	static PoolSupply of(Collection<Candidate> candidates, List<Long> arrivalMillis) {
		Resources free = Resources.NONE;
		Resources forFinite = Resources.NONE;
		double millicores = 0;
		for (Candidate candidate : candidates) {
			free = free.plus(candidate.free());
			forFinite = forFinite.plus(candidate.runner().capacity().minus(candidate.longRunning()));
			millicores += candidate.runner().capacity().cpuMillicores();
		}
		return new PoolSupply(free, forFinite, arrivalMillis, millicores / Math.max(1, candidates.size()));
	}

	/**
	 * Returns the capacity that no task uses.
	 * @return sum over all runners
	 */
	Resources free() {
		return this.free;
	}

	/**
	 * Returns the work that the pool can do.
	 * @param millis period from now, in milliseconds
	 * @return work in core-milliseconds (thousandths of a core times milliseconds)
	 */
	double workWithin(double millis) {
		double work = this.forFinite.cpuMillicores() * millis;
		for (long delayMillis : this.arrivalMillis) {
			work += this.meanHostMillicores * Math.max(0, millis - delayMillis);
		}
		return work;
	}

	/**
	 * Returns the processor share of a task, or an equal share if it needs more of the
	 * memory or accelerators.
	 * @param task resources reserved by the task
	 * @return thousandths of a core
	 */
	double millicoresOf(Resources task) {
		return task.dominantShareOf(this.forFinite) * this.forFinite.cpuMillicores();
	}

}
