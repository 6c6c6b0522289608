package io.burdockpin.core.batch.lead;

/** What a host in a pool is held for at one moment of a simulation. */
enum HostUse {

	/** Its move has begun, but its runner has not started. */
	ARRIVING,

	/** Its move is committed, but not carried out. */
	LEAVING,

	/** It has long-running tasks. */
	SERVING,

	/** It has finite tasks only. */
	BUSY,

	/** It has no tasks, before the traffic begins. */
	IDLE_BEFORE_TRAFFIC,

	/** It has no tasks, during a peak of its queue. */
	IDLE_IN_PEAK,

	/** It has no tasks, within 3 s after a peak of its queue. */
	IDLE_AFTER_PEAK,

	/** It has no tasks, at any other time. */
	IDLE_BETWEEN_PEAKS;

	private static final int AFTER_PEAK_MILLIS = 3_000;

	/**
	 * Returns the use of a host without tasks.
	 * @param load load of the queues
	 * @param queue number of the queue of the pool
	 * @param offsetMillis time since the start of the traffic; negative before
	 * @return the use
	 */
	static HostUse ofIdle(DemandLoad load, int queue, long offsetMillis) {
		if (offsetMillis < 0) {
			return IDLE_BEFORE_TRAFFIC;
		}
		if (load.isPeak(queue, offsetMillis)) {
			return IDLE_IN_PEAK;
		}
		for (int before = 100; before <= AFTER_PEAK_MILLIS; before += 100) {
			if (load.isPeak(queue, offsetMillis - before)) {
				return IDLE_AFTER_PEAK;
			}
		}
		return IDLE_BETWEEN_PEAKS;
	}

}
