package io.burdockpin.core.placement;

import java.util.Arrays;

/**
 * The newest ratios of observed to declared values, with a quantile of them. Mutable,
 * owned by one estimator.
 */
final class RatioWindow {

	private static final int SIZE = 32;

	/** Fewer observations than this say too little to deviate from the declaration. */
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
	 * Returns the quantile.
	 * @return the ratio that 90% of the observations do not exceed, or 1 while there are
	 * too few
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
