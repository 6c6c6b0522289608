package io.burdockpin.core.batch.lead;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long tasks take. Callers' estimates are often far off, by a spread that
 * differs from queue to queue, so each queue has a regression of the logarithm of the
 * measured time on that of the estimate. Mutable; owned by the leader.
 */
public final class DurationEstimator {

	/** Weight of the belief that estimates are right, in measured tasks. */
	private static final double PRIOR_TASKS = 8;

	/** Spread of the estimates that the belief assumes, in natural logarithms. */
	private static final double PRIOR_VARIANCE = 0.3;

	private static final double SHORTEST_MILLIS = 20;

	private final Map<String, Regression> byQueue = new HashMap<>();

	/**
	 * Counts a task that is done.
	 * @param queue its queue
	 * @param estimatedMillis the estimate of the caller
	 * @param measuredMillis how long it took
	 */
	public void addSample(String queue, int estimatedMillis, long measuredMillis) {
		if (estimatedMillis > 0 && measuredMillis > 0) {
			this.byQueue.computeIfAbsent(queue, (name) -> new Regression())
				.add(Math.log(estimatedMillis), Math.log(Math.max(SHORTEST_MILLIS, measuredMillis)));
		}
	}

	/**
	 * Estimates the duration of a task.
	 * @param queue its queue
	 * @param estimatedMillis the estimate of the caller
	 * @return the time in milliseconds
	 */
	public long estimateMillis(String queue, int estimatedMillis) {
		Regression regression = this.byQueue.get(queue);
		if (regression == null || estimatedMillis <= 0) {
			return estimatedMillis;
		}
		return Math.round(Math.exp(regression.predict(Math.log(estimatedMillis))));
	}

	/** Least squares with a prior of slope 1 through the mean of the estimates. */
	private static final class Regression {

		private double count;

		private double sumX;

		private double sumY;

		private double sumXx;

		private double sumXy;

		private void add(double x, double y) {
			this.count++;
			this.sumX += x;
			this.sumY += y;
			this.sumXx += x * x;
			this.sumXy += x * y;
		}

		private double predict(double x) {
			double meanX = this.sumX / this.count;
			double meanY = this.sumY / this.count;
			double variance = this.sumXx - this.count * meanX * meanX + PRIOR_TASKS * PRIOR_VARIANCE;
			double covariance = this.sumXy - this.count * meanX * meanY + PRIOR_TASKS * PRIOR_VARIANCE;
			double shift = (meanY - meanX) * this.count / (this.count + PRIOR_TASKS);
			return meanX + shift + covariance / variance * (x - meanX);
		}

	}

}
