package io.burdockpin.core.batch.lead.pool;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Learns demand peaks that recur with a fixed period, from the demand itself. Handles
 * queues whose peaks take turns: once the demand of all pools repeats what it was one
 * period ago, it is expected to go on doing so. A peak that fails to come is expected no
 * longer after {@value #MISS_MILLIS} ms. Without a recognisable period nothing is
 * expected. Times are of any one clock, in milliseconds. Not thread-safe; owned by the
 * leader.
 */
final class DemandForecast {

	private static final int BIN_MILLIS = 200;

	/** Periods of up to half of this time are recognised. */
	private static final int HISTORY_MILLIS = 120_000;

	private static final int BINS = HISTORY_MILLIS / BIN_MILLIS;

	/** Time of recurring demand that shows a period at least. */
	private static final int MINIMUM_MATCH_MILLIS = 1_200;

	/** Share of a period that must have recurred before the period is recognised. */
	private static final double MINIMUM_MATCH_SHARE = 0.125;

	/**
	 * Similarity of the demand to that of one period ago from which it counts as
	 * recurring. Demand peaks of a few dozen jobs reach about 0.8.
	 */
	private static final double RECURRING_SIMILARITY = 0.6;

	/**
	 * Demand that is more similar to itself at all shorter distances is steady, so any
	 * period would match.
	 */
	private static final double CHANGED_SIMILARITY = 0.4;

	/** A multiple of the period may match slightly better by chance. */
	private static final double SHORTEST_PERIOD_TOLERANCE = 0.9;

	/** Demand below this number of hosts fits into what a pool keeps anyway. */
	private static final double MINIMUM_PEAK_HOSTS = 3;

	/** Time without the expected demand after which a peak counts as missing. */
	static final int MISS_MILLIS = 800;

	private static final double MISS_SHARE = 0.4;

	private static final int ESTIMATION_MILLIS = 600;

	/** The platform takes about this long for the orders of the hosts of a peak. */
	private static final long ORDERING_MILLIS = 600;

	/** Factor by which a peak may differ from the one before. */
	private static final double GROWTH_FACTOR = 1.5;

	private final Map<String, double[]> hostsByPool = new HashMap<>();

	/** Number of the first bin with demand, or -1. */
	private long firstBin = -1;

	private long lastBin = -1;

	private long estimatedMillis = Long.MIN_VALUE / 2;

	private long periodBins;

	/**
	 * Makes room for the demand until some time after the current time. Must be called
	 * before {@link #add}.
	 * @param nowMillis current time
	 */
	void advance(long nowMillis) {
		long ahead = nowMillis / BIN_MILLIS + BINS / 4;
		if (this.lastBin < 0 || ahead - this.lastBin >= BINS) {
			this.hostsByPool.values().forEach((series) -> Arrays.fill(series, 0));
			this.firstBin = -1;
			this.lastBin = ahead;
		}
		while (this.lastBin < ahead) {
			this.lastBin++;
			int cleared = index(this.lastBin);
			this.hostsByPool.values().forEach((series) -> series[cleared] = 0);
		}
		if (this.firstBin >= 0) {
			this.firstBin = Math.max(this.firstBin, this.lastBin - BINS + 1);
		}
	}

	/**
	 * Adds the demand of one step of a job, as if it ran as soon as it is ready. What
	 * lies outside of the history is ignored.
	 * @param pool name of the pool
	 * @param startMillis time at which the step is ready
	 * @param durationMillis expected duration of its tasks
	 * @param hosts hosts that its tasks fill, including fractions
	 */
	void add(String pool, long startMillis, long durationMillis, double hosts) {
		double[] series = this.hostsByPool.computeIfAbsent(pool, (name) -> new double[BINS]);
		long first = Math.max(startMillis / BIN_MILLIS, this.lastBin - BINS + 1);
		long last = Math.min((startMillis + durationMillis) / BIN_MILLIS, this.lastBin);
		if (first <= last) {
			this.firstBin = (this.firstBin < 0) ? first : Math.min(first, this.firstBin);
		}
		for (long bin = first; bin <= last; bin++) {
			double share = (Math.min(startMillis + durationMillis, (bin + 1) * BIN_MILLIS)
					- Math.max(startMillis, bin * BIN_MILLIS)) / (double) BIN_MILLIS;
			series[index(bin)] += share * hosts;
		}
	}

	/**
	 * Estimates the period if that is due.
	 * @param nowMillis current time
	 */
	void update(long nowMillis) {
		advance(nowMillis);
		if (nowMillis - this.estimatedMillis >= ESTIMATION_MILLIS) {
			this.estimatedMillis = nowMillis;
			this.periodBins = (this.firstBin < 0) ? 0 : estimatePeriodBins(nowMillis / BIN_MILLIS - 1);
		}
	}

	/**
	 * Returns the recognised period.
	 * @return period in milliseconds; empty if there is none
	 */
	OptionalLong periodMillis() {
		return (this.periodBins > 0) ? OptionalLong.of(this.periodBins * BIN_MILLIS) : OptionalLong.empty();
	}

	/**
	 * Returns the demand of a pool that is expected.
	 * @param pool name of the pool
	 * @param nowMillis current time
	 * @param lookAheadMillis time until a host ordered now would arrive
	 * @param limitHosts hosts that are expected at most, which bounds the cost of a wrong
	 * forecast
	 * @return expected demand; unknown without a recognised period or while an expected
	 * peak fails to come
	 */
	ExpectedDemand expected(String pool, long nowMillis, long lookAheadMillis, double limitHosts) {
		double[] series = this.hostsByPool.get(pool);
		if (this.periodBins == 0 || series == null || isMissing(series, nowMillis)) {
			return ExpectedDemand.UNKNOWN;
		}
		long arrivalMillis = nowMillis + lookAheadMillis;
		double arrivalHosts = mostHosts(series, nowMillis, arrivalMillis, arrivalMillis + ORDERING_MILLIS);
		double soonHosts = mostHosts(series, nowMillis, nowMillis, arrivalMillis + ORDERING_MILLIS);
		boolean isKnown = soonHosts >= MINIMUM_PEAK_HOSTS && !isExceeded(series, nowMillis);
		return new ExpectedDemand(Math.min(limitHosts, arrivalHosts), Math.min(limitHosts, soonHosts),
				isKnown ? GROWTH_FACTOR * arrivalHosts : Double.POSITIVE_INFINITY);
	}

	private double mostHosts(double[] series, long nowMillis, long fromMillis, long toMillis) {
		double most = 0;
		for (long bin = fromMillis / BIN_MILLIS; bin <= toMillis / BIN_MILLIS; bin++) {
			long earlier = bin - this.periodBins;
			if (earlier <= nowMillis / BIN_MILLIS) {
				most = Math.max(most, series[index(earlier)]);
			}
		}
		return most;
	}

	private boolean isMissing(double[] series, long nowMillis) {
		double expected = recentHosts(series, nowMillis, this.periodBins);
		return expected >= MINIMUM_PEAK_HOSTS && recentHosts(series, nowMillis, 0) < MISS_SHARE * expected;
	}

	// A burst on top of an expected peak gets what it requires.
	private boolean isExceeded(double[] series, long nowMillis) {
		double actual = recentHosts(series, nowMillis, 0);
		return actual > GROWTH_FACTOR * Math.max(MINIMUM_PEAK_HOSTS, recentHosts(series, nowMillis, this.periodBins));
	}

	private static double recentHosts(double[] series, long nowMillis, long lagBins) {
		double sum = 0;
		for (long bin = (nowMillis - MISS_MILLIS) / BIN_MILLIS; bin < nowMillis / BIN_MILLIS; bin++) {
			sum += series[index(bin - lagBins)];
		}
		return sum * BIN_MILLIS / MISS_MILLIS;
	}

	private long estimatePeriodBins(long now) {
		long known = now - this.firstBin + 1;
		int minimumMatch = MINIMUM_MATCH_MILLIS / BIN_MILLIS;
		double[] similarities = new double[BINS / 2];
		boolean hasChanged = false;
		double best = 0;
		for (int lag = minimumMatch; lag < similarities.length; lag++) {
			long match = Math.min(lag, known - lag);
			if (match < Math.max(minimumMatch, MINIMUM_MATCH_SHARE * lag)) {
				break;
			}
			double similarity = similarity(now, lag, match);
			hasChanged |= similarity < CHANGED_SIMILARITY;
			similarities[lag] = hasChanged ? similarity : 0;
			best = Math.max(best, similarities[lag]);
		}
		if (best < RECURRING_SIMILARITY) {
			return 0;
		}
		int lag = 0;
		while (similarities[lag] < SHORTEST_PERIOD_TOLERANCE * best) {
			lag++;
		}
		while (lag + 1 < similarities.length && similarities[lag + 1] > similarities[lag]) {
			lag++;
		}
		return lag;
	}

	// 1 for equal demand, 0 if no pool had demand at both times.
	private double similarity(long now, int lag, long match) {
		double difference = 0;
		double sum = 0;
		for (double[] series : this.hostsByPool.values()) {
			for (long bin = now - match + 1; bin <= now; bin++) {
				double later = series[index(bin)];
				double earlier = series[index(bin - lag)];
				difference += Math.abs(later - earlier);
				sum += later + earlier;
			}
		}
		return (sum >= 2 * MINIMUM_PEAK_HOSTS * match) ? 1 - difference / sum : 0;
	}

	private static int index(long bin) {
		return (int) Math.floorMod(bin, (long) BINS);
	}

}
