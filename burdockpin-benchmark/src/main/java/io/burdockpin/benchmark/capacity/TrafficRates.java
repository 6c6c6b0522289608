package io.burdockpin.benchmark.capacity;

/**
 * How fast the fleet changes.
 *
 * @param jobsPerWorker running jobs of a worker
 * @param meanJobMillis mean run time of a job
 * @param usageNoise standard deviation of the usage of a job around its own mean, as a
 * part of the mean
 * @param activePeriodMillis how long a team or queue is active in its turn
 * @param activeFraction part of the teams and queues that are active at a time
 * @param activeRequestsPerSecond requests of an active team at one entry host
 * @param quietRequestsPerSecond requests of another team at one entry host
 * @param requestMillis mean duration of a request
 */
record TrafficRates(int jobsPerWorker, long meanJobMillis, double usageNoise, long activePeriodMillis,
		double activeFraction, double activeRequestsPerSecond, double quietRequestsPerSecond, long requestMillis) {

	/**
	 * Jobs of an hour; a fifth of the teams and queues asks for five times its mean and
	 * the others for a twentieth, in turns of 10 s; 700 requests a second in the fleet.
	 */
	static final TrafficRates ORDINARY = new TrafficRates(6, 3_600_000, 0.05, 10_000, 0.2, 4.5, 0.045, 250);

	TrafficRates withMeanJobMillis(long newMeanJobMillis) {
		return new TrafficRates(this.jobsPerWorker, newMeanJobMillis, this.usageNoise, this.activePeriodMillis,
				this.activeFraction, this.activeRequestsPerSecond, this.quietRequestsPerSecond, this.requestMillis);
	}

	TrafficRates withUsageNoise(double newUsageNoise) {
		return new TrafficRates(this.jobsPerWorker, this.meanJobMillis, newUsageNoise, this.activePeriodMillis,
				this.activeFraction, this.activeRequestsPerSecond, this.quietRequestsPerSecond, this.requestMillis);
	}

	/**
	 * Tells whether a team or queue is active.
	 * @param number its number
	 * @param count how many there are
	 * @param nowMillis the time
	 * @return whether it is its turn
	 */
	boolean isActive(int number, int count, long nowMillis) {
		int turns = (int) Math.round(1 / this.activeFraction);
		return (nowMillis / this.activePeriodMillis) % turns == number * (long) turns / count;
	}

}
