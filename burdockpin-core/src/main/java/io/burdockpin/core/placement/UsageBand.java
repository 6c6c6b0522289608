package io.burdockpin.core.placement;

import io.burdockpin.core.model.Resources;

/**
 * Usage level of a worker relative to its capacity, as distinguished by overload control.
 */
public enum UsageBand {

	/** Processor usage is low enough to lift throttles. */
	LOW(false) {
		@Override
		public boolean isOutside(Resources usage, Resources capacity) {
			return UsageBand.of(usage, capacity).overloaded()
					|| usage.cpuMillicores() >= LOW_CPU_EXIT_FRACTION * capacity.cpuMillicores();
		}
	},

	/** No action is needed. */
	NORMAL(false),

	/** Processor usage exceeds the capacity. */
	CPU_OVERLOADED(true),

	/** Memory usage is close to the capacity. */
	MEMORY_OVERLOADED(true);

	private static final double MEMORY_LIMIT_FRACTION = 0.95;

	/** Throttles are lifted below this fraction of the processor capacity. */
	private static final double LOW_CPU_FRACTION = 0.7;

	/**
	 * Hysteresis: usage that fluctuates around the bound of {@link #LOW} does not cause a
	 * report each time.
	 */
	private static final double LOW_CPU_EXIT_FRACTION = 0.75;

	private final boolean overloaded;

	UsageBand(boolean overloaded) {
		this.overloaded = overloaded;
	}

	/**
	 * Returns the band that a usage falls into.
	 * @param usage the total usage of the jobs on a worker
	 * @param capacity the capacity of the worker
	 * @return the band; a shortage of memory takes precedence over one of processor
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
	 * Returns whether a usage has left this band and must be reported. Only the
	 * transition from {@link #LOW} to {@link #NORMAL} has a margin, because it triggers
	 * no relief.
	 * @param usage the total usage of the jobs on a worker
	 * @param capacity the capacity of the worker
	 * @return {@code true} if the usage is outside this band
	 */
	public boolean isOutside(Resources usage, Resources capacity) {
		return of(usage, capacity) != this;
	}

	/**
	 * Returns whether a worker in this band needs relief.
	 * @return {@code true} if the worker is overloaded
	 */
	public boolean overloaded() {
		return this.overloaded;
	}

}
