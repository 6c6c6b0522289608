package io.burdockpin.core.placement;

import java.util.Arrays;

/**
 * Sliding window of ratios of observed to declared values with their 0.9 quantile. Not
 * thread-safe; owned by one estimator.
 */
final class RatioWindow {

	private static final int SIZE = 32;

	/** With fewer observations the declaration is used unchanged. */
	private static final int MINIMUM_OBSERVATIONS = 4;

	private static final double QUANTILE = 0.9;

	private final double[] ratios = new double[SIZE];

	private int count;

	private double quantile = 1;

	void add(double ratio) {
		this.ratios[this.count % SIZE] = ratio;
		this.count++;
		this.quantile = computeQuantile();
	}

	/**
	 * Returns the quantile of the ratios.
	 * @return the ratio that 90% of the observations do not exceed, or 1 if there are too
	 * few observations
	 */
	double quantile() {
		return this.quantile;
	}

	private double computeQuantile() {
		if (this.count < MINIMUM_OBSERVATIONS) {
			return 1;
		}
		double[] sorted = Arrays.copyOf(this.ratios, Math.min(this.count, SIZE));
		Arrays.sort(sorted);
		int position = (int) Math.ceil(QUANTILE * sorted.length) - 1;
		return sorted[position];
	}

}
