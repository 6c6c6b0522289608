package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * An amount of processor, memory and accelerators.
 *
 * @param cpuMillicores thousandths of a processor core
 * @param memoryMebibytes memory in MiB
 * @param accelerators whole accelerators
 */
public record Resources(int cpuMillicores, int memoryMebibytes, int accelerators) {

	/** Nothing at all. */
	public static final Resources NONE = new Resources(0, 0, 0);

	private static final int MAX_CPU_MILLICORES = 4_096_000;

	private static final int MAX_MEMORY_MEBIBYTES = 64 * 1024 * 1024;

	private static final int MAX_ACCELERATORS = 1024;

	public Resources {
		Checks.range("cpuMillicores", cpuMillicores, 0, MAX_CPU_MILLICORES);
		Checks.range("memoryMebibytes", memoryMebibytes, 0, MAX_MEMORY_MEBIBYTES);
		Checks.range("accelerators", accelerators, 0, MAX_ACCELERATORS);
	}

	/**
	 * Adds another amount.
	 * @param other the amount to add
	 * @return the sum
	 */
	public Resources plus(Resources other) {
		return new Resources(this.cpuMillicores + other.cpuMillicores, this.memoryMebibytes + other.memoryMebibytes,
				this.accelerators + other.accelerators);
	}

	/**
	 * Subtracts another amount, stopping at zero in each dimension.
	 * @param other the amount to subtract
	 * @return the difference
	 */
	public Resources minus(Resources other) {
		return new Resources(Math.max(0, this.cpuMillicores - other.cpuMillicores),
				Math.max(0, this.memoryMebibytes - other.memoryMebibytes),
				Math.max(0, this.accelerators - other.accelerators));
	}

	/**
	 * Tells whether this amount fits into another in every dimension.
	 * @param capacity the available amount
	 * @return {@code true} if it fits
	 */
	public boolean fitsIn(Resources capacity) {
		return this.cpuMillicores <= capacity.cpuMillicores && this.memoryMebibytes <= capacity.memoryMebibytes
				&& this.accelerators <= capacity.accelerators;
	}

	/**
	 * Returns the largest fraction that this amount takes of a total in any dimension.
	 * @param total the total amount
	 * @return the dominant fraction, 0 or more
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
