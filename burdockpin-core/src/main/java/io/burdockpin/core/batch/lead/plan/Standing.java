package io.burdockpin.core.batch.lead.plan;

/**
 * How a step ranks among those of the same urgency and priority while its pool lacks
 * capacity, the first to be placed first.
 */
enum Standing {

	/** The pool has capacity for all waiting tasks, so the rank does not matter. */
	UNRANKED,

	/**
	 * A job in progress that can be in time. The capacity that it has used is lost if it
	 * is not completed in time.
	 */
	STARTED,

	/** A new job for which the pool has capacity until its objective. */
	CHOSEN,

	/** The same, but submitted beyond the weight of its workspace. */
	CHOSEN_BEYOND_WEIGHT,

	/** A new job that does not fit into the capacity until its objective. */
	DEFERRED,

	/** The same, but submitted beyond the weight of its workspace. */
	DEFERRED_BEYOND_WEIGHT,

	/** A late job whose result still has a value for its caller. */
	EARNING,

	/** A late job whose result has no value left. */
	WORTHLESS {

		@Override
		long key(WorkItem item) {
			return item.job().acceptedMillis();
		}

	};

	/**
	 * Returns the key by which steps of this standing are sorted.
	 * @param item step with waiting tasks
	 * @return absolute slack, or the time of acceptance if nothing depends on the delay;
	 * in milliseconds, the lowest first
	 */
	long key(WorkItem item) {
		return Math.abs(item.slackMillis());
	}

}
