package io.burdockpin.core.batch.lead;

/**
 * Cost of the hosts if all demand were known in advance: each task starts when it is
 * ready, tasks fill hosts completely, and a host that is needed again later is kept if
 * that is cheaper than moving it. Each return of a host counts as one move, as if it
 * always came directly from another pool, and takes the time of a move. No scheduler can
 * hold fewer host-seconds unless it delays tasks.
 */
final class KnownDemandPlan {

	private static final double UNITS_PER_HOST_SECOND = 0.022;

	private static final double UNITS_PER_MOVE = 0.025;

	private static final double MOVE_SECONDS = 1.5;

	private static final int SLOT_MILLIS = 50;

	private static final double SLOT_SECONDS = SLOT_MILLIS / 1_000.0;

	/** Used hosts for each pool and slot, including fractions. */
	private final double[][] usedHosts;

	private double hostSeconds;

	private int moves;

	KnownDemandPlan(int pools, long totalMillis) {
		this.usedHosts = new double[pools][(int) (totalMillis / SLOT_MILLIS) + 1];
	}

	/**
	 * Adds a task.
	 * @param pool number of the pool
	 * @param startMillis time from the start of the simulation at which it is ready
	 * @param millis duration of the task
	 * @param hosts share of a host that it takes
	 */
	void add(int pool, long startMillis, long millis, double hosts) {
		double[] used = this.usedHosts[pool];
		int first = (int) (startMillis / SLOT_MILLIS);
		int last = Math.min(used.length, (int) ((startMillis + millis) / SLOT_MILLIS));
		for (int slot = first; slot < last; slot++) {
			used[slot] += hosts;
		}
	}

	/** Plans the hosts of all pools; must be called once, after all tasks were added. */
	void plan() {
		for (double[] used : this.usedHosts) {
			int highest = 0;
			for (double hosts : used) {
				highest = Math.max(highest, (int) Math.ceil(hosts));
			}
			for (int level = 0; level < highest; level++) {
				planLevel(used, level);
			}
		}
	}

	private void planLevel(double[] used, int level) {
		int lastUsed = -1;
		for (int slot = 0; slot < used.length; slot++) {
			if (used[slot] <= level) {
				continue;
			}
			this.hostSeconds += SLOT_SECONDS;
			double gapSeconds = (slot - lastUsed - 1) * SLOT_SECONDS;
			double moveUnits = UNITS_PER_MOVE + MOVE_SECONDS * UNITS_PER_HOST_SECOND;
			if (lastUsed >= 0 && gapSeconds * UNITS_PER_HOST_SECOND <= moveUnits) {
				this.hostSeconds += gapSeconds;
			}
			else {
				this.hostSeconds += MOVE_SECONDS;
				this.moves++;
			}
			lastUsed = slot;
		}
	}

	double hostSeconds() {
		return this.hostSeconds;
	}

	int moves() {
		return this.moves;
	}

	/**
	 * Returns the cost of hosts in the users' accounting.
	 * @param hostSeconds seconds that hosts were in pools
	 * @param moves number of host moves
	 * @return cost in units
	 */
	static double units(double hostSeconds, int moves) {
		return UNITS_PER_HOST_SECOND * hostSeconds + UNITS_PER_MOVE * moves;
	}

}
