package io.burdockpin.core.batch.lead.plan;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.batch.model.QueueAddress;

/**
 * Estimates task durations. Estimates given by callers are often inaccurate, by an amount
 * that differs between queues, so each queue has a linear regression of the logarithm of
 * the measured duration on the logarithm of the estimate. Not thread-safe; owned by the
 * leader.
 */
public final class DurationEstimator {

	/**
	 * Weight of the prior assumption that estimates are accurate, as a number of measured
	 * tasks.
	 */
	private static final double PRIOR_TASKS = 8;

	/** Variance of the natural logarithm of the estimates in the prior. */
	private static final double PRIOR_VARIANCE = 0.3;

	private static final double SHORTEST_MILLIS = 20;

	private final Map<QueueAddress, Regression> byQueue = new HashMap<>();

	/**
	 * Adds the measured duration of a completed task.
	 * @param queue queue of the task
	 * @param estimatedMillis estimate given by the caller
	 * @param measuredMillis measured duration
	 */
	public void addSample(QueueAddress queue, int estimatedMillis, long measuredMillis) {
		if (estimatedMillis > 0 && measuredMillis > 0) {
			this.byQueue.computeIfAbsent(queue, (name) -> new Regression())
				.add(Math.log(estimatedMillis), Math.log(Math.max(SHORTEST_MILLIS, measuredMillis)));
		}
	}

	/**
	 * Estimates the duration of a task.
	 * @param queue queue of the task
	 * @param estimatedMillis estimate given by the caller
	 * @return estimated duration in milliseconds; the caller's estimate if nothing was
	 * measured in this queue
	 */
	public long estimateMillis(QueueAddress queue, int estimatedMillis) {
		Regression regression = this.byQueue.get(queue);
		if (regression == null || estimatedMillis <= 0) {
			return estimatedMillis;
		}
		return Math.round(Math.exp(regression.predict(Math.log(estimatedMillis))));
	}

	/**
	 * Least-squares regression with a prior of slope 1 through the mean of the estimates.
	 */
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
