package io.burdockpin.core.placement;

import io.burdockpin.core.model.Resources;

/**
 * How much of its capacity a worker uses, as far as the answers to overload tell usages
 * apart.
 */
public enum UsageBand {

	/** Throttled jobs get their share back. */
	LOW(false) {
		@Override
		public boolean isOutside(Resources usage, Resources capacity) {
			return UsageBand.of(usage, capacity).overloaded()
					|| usage.cpuMillicores() >= LOW_CPU_EXIT_FRACTION * capacity.cpuMillicores();
		}
	},

	/** Nothing is to be done. */
	NORMAL(false),

	/** More processor is used than there is. */
	CPU_OVERLOADED(true),

	/** Memory is nearly used up. */
	MEMORY_OVERLOADED(true);

	private static final double MEMORY_LIMIT_FRACTION = 0.95;

	/** Throttled jobs get their share back below this part of the processor capacity. */
	private static final double LOW_CPU_FRACTION = 0.7;

	/**
	 * Usage that fluctuates around the bound of calm is not worth a message each time.
	 */
	private static final double LOW_CPU_EXIT_FRACTION = 0.75;

	private final boolean overloaded;

	UsageBand(boolean overloaded) {
		this.overloaded = overloaded;
	}

	/**
	 * Returns the band of a usage.
	 * @param usage what the jobs of a worker use
	 * @param capacity what the worker has
	 * @return the band
	 */
	public static UsageBand of(Resources usage, Resources capacity) {
		if (usage.memoryMebibytes() > MEMORY_LIMIT_FRACTION * capacity.memoryMebibytes()) {
			return MEMORY_OVERLOADED;
		}
		if (usage.cpuMillicores() > capacity.cpuMillicores()) {
			return CPU_OVERLOADED;
		}
		return (usage.cpuMillicores() < LOW_CPU_FRACTION * capacity.cpuMillicores()) ? LOW : NORMAL;
	}

	/**
	 * Tells whether a usage is far enough from this band to be told. Only the way from
	 * calm to normal has a margin, because no relief depends on it.
	 * @param usage what the jobs of a worker use
	 * @param capacity what the worker has
	 * @return {@code true} if it is
	 */
	public boolean isOutside(Resources usage, Resources capacity) {
		return of(usage, capacity) != this;
	}

	/**
	 * Tells whether the worker needs relief.
	 * @return {@code true} if it does
	 */
	public boolean overloaded() {
		return this.overloaded;
	}

}
