package io.burdockpin.core.placement;

import io.burdockpin.core.model.Resources;

/**
 * How much of its capacity a worker uses, as far as the answers to overload tell usages
 * apart.
 */
public enum UsageBand {

	/** Throttled jobs get their share back. */
	CALM(false) {
		@Override
		public boolean isLeft(Resources usage, Resources capacity) {
			return UsageBand.of(usage, capacity).overloaded()
					|| usage.cpuMillicores() >= NO_LONGER_CALM_CPU * capacity.cpuMillicores();
		}
	},

	/** Nothing is to be done. */
	NORMAL(false),

	/** More processor is used than there is. */
	CPU_OVER(true),

	/** Memory is nearly used up. */
	MEMORY_OVER(true);

	private static final double MEMORY_LIMIT = 0.95;

	/** Throttled jobs get their share back below this part of the processor capacity. */
	private static final double CALM_CPU = 0.7;

	/**
	 * Usage that fluctuates around the bound of calm is not worth a message each time.
	 */
	private static final double NO_LONGER_CALM_CPU = 0.75;

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
	 * Tells whether a usage is far enough from this band to be told. Only the way from
	 * calm to normal has a margin, because no relief depends on it.
	 * @param usage what the jobs of a worker use
	 * @param capacity what the worker has
	 * @return {@code true} if it is
	 */
	public boolean isLeft(Resources usage, Resources capacity) {
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
