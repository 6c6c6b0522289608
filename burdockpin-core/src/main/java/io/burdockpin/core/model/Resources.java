package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * An amount of processor, memory and accelerator resources.
 *
 * @param cpuMillicores thousandths of a processor core
 * @param memoryMebibytes memory in MiB
 * @param accelerators whole accelerators
 */
public record Resources(int cpuMillicores, int memoryMebibytes, int accelerators) {

	/** Zero in each dimension. */
	public static final Resources NONE = new Resources(0, 0, 0);

	/**
	 * Maximum in each dimension: a million cores and a pebibyte, well above the capacity
	 * of a fleet of thousands of hosts. The sum of two such amounts does not overflow an
	 * {@code int}.
	 */
	private static final int MAXIMUM = (1 << 30) - 1;

	public Resources {
		Checks.range("cpuMillicores", cpuMillicores, 0, MAXIMUM);
		Checks.range("memoryMebibytes", memoryMebibytes, 0, MAXIMUM);
		Checks.range("accelerators", accelerators, 0, MAXIMUM);
	}

	/**
	 * Adds another amount, saturating at the maximum in each dimension.
	 * @param other the amount to add
	 * @return the sum
	 */
	public Resources plus(Resources other) {
		return new Resources(Math.min(MAXIMUM, this.cpuMillicores + other.cpuMillicores),
				Math.min(MAXIMUM, this.memoryMebibytes + other.memoryMebibytes),
				Math.min(MAXIMUM, this.accelerators + other.accelerators));
	}

	/**
	 * Subtracts another amount, saturating at zero in each dimension.
	 * @param other the amount to subtract
	 * @return the difference
	 */
	public Resources minus(Resources other) {
		return new Resources(Math.max(0, this.cpuMillicores - other.cpuMillicores),
				Math.max(0, this.memoryMebibytes - other.memoryMebibytes),
				Math.max(0, this.accelerators - other.accelerators));
	}

	/**
	 * Multiplies this amount, saturating at the maximum in each dimension.
	 * @param count number of times, 0 or more
	 * @return the product
	 */
	public Resources times(int count) {
		return new Resources(product(this.cpuMillicores, count), product(this.memoryMebibytes, count),
				product(this.accelerators, count));
	}

	private static int product(int amount, int count) {
		return (int) Math.min(MAXIMUM, (long) amount * count);
	}

	/**
	 * Returns the larger amount in each dimension.
	 * @param other the amount to compare with
	 * @return the smallest amount that both fit in
	 */
	public Resources largestOf(Resources other) {
		return new Resources(Math.max(this.cpuMillicores, other.cpuMillicores),
				Math.max(this.memoryMebibytes, other.memoryMebibytes), Math.max(this.accelerators, other.accelerators));
	}

	/**
	 * Returns whether this amount is not greater than another one in any dimension.
	 * @param capacity the available amount
	 * @return {@code true} if this amount fits
	 */
	public boolean fitsIn(Resources capacity) {
		return this.cpuMillicores <= capacity.cpuMillicores && this.memoryMebibytes <= capacity.memoryMebibytes
				&& this.accelerators <= capacity.accelerators;
	}

	/**
	 * Returns the dominant share of this amount, the largest fraction of a total over all
	 * dimensions.
	 * @param total the total amount
	 * @return the dominant share, 0 or more; a dimension without any total counts as 0
	 */
	public double dominantShareOf(Resources total) {
		double cpuFraction = fraction(this.cpuMillicores, total.cpuMillicores);
		double memoryFraction = fraction(this.memoryMebibytes, total.memoryMebibytes);
		double acceleratorFraction = fraction(this.accelerators, total.accelerators);
		return Math.max(cpuFraction, Math.max(memoryFraction, acceleratorFraction));
	}

	private static double fraction(int part, int total) {
		return (total > 0) ? (double) part / total : 0;
	}

}
