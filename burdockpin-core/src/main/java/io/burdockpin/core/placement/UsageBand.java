package io.burdockpin.core.placement;

import io.burdockpin.core.model.Resources;

/**
 * How much of its capacity a worker uses, as far as the answers to overload tell usages
 * apart.
 */
public enum UsageBand {

	/** Throttled jobs get their share back. */
	CALM(false),

	/** Nothing is to be done. */
	NORMAL(false),

	/** More processor is used than there is. */
	CPU_OVER(true),

	/** Memory is nearly used up. */
	MEMORY_OVER(true);

	private static final double MEMORY_LIMIT = 0.95;

	/** Throttled jobs get their share back below this part of the processor capacity. */
	private static final double CALM_CPU = 0.7;

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
		if (usage.memoryMebibytes() > MEMORY_LIMIT * capacity.memoryMebibytes()) {
			return MEMORY_OVER;
		}
		if (usage.cpuMillicores() > capacity.cpuMillicores()) {
			return CPU_OVER;
		}
		return (usage.cpuMillicores() < CALM_CPU * capacity.cpuMillicores()) ? CALM : NORMAL;
	}

	/**
	 * Tells whether the worker needs relief.
	 * @return {@code true} if it does
	 */
	public boolean overloaded() {
		return this.overloaded;
	}

}
