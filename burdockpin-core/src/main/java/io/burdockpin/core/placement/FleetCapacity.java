package io.burdockpin.core.placement;

import java.util.Collection;

import io.burdockpin.core.model.Resources;

/**
 * Total capacity of the hosts that accept new jobs. Immutable.
 *
 * @param cpuMillicores thousandths of a processor core
 * @param memoryMebibytes memory in MiB
 * @param accelerators whole accelerators
 */
record FleetCapacity(long cpuMillicores, long memoryMebibytes, long accelerators) {

	static FleetCapacity of(Collection<Resources> capacities) {
		long cpuSum = 0;
		long memorySum = 0;
		long acceleratorSum = 0;
		for (Resources capacity : capacities) {
			cpuSum += capacity.cpuMillicores();
			memorySum += capacity.memoryMebibytes();
			acceleratorSum += capacity.accelerators();
		}
		return new FleetCapacity(cpuSum, memorySum, acceleratorSum);
	}

	double dominantShare(long cpuMillicores, long memoryMebibytes, long accelerators) {
		double cpuShare = fraction(cpuMillicores, this.cpuMillicores);
		double memoryShare = fraction(memoryMebibytes, this.memoryMebibytes);
		double acceleratorShare = fraction(accelerators, this.accelerators);
		return Math.max(cpuShare, Math.max(memoryShare, acceleratorShare));
	}

	private static double fraction(long part, long total) {
		return (total > 0) ? (double) part / total : 0;
	}

}
