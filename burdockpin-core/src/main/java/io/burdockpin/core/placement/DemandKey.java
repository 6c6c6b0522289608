package io.burdockpin.core.placement;

import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;

/**
 * Jobs that are expected to deviate from their declaration in the same way: jobs of one
 * team whose declared sizes lie in the same powers of two. Immutable.
 *
 * @param team the team
 * @param cpuClass binary order of magnitude of the declared processor capacity
 * @param memoryClass binary order of magnitude of the declared memory
 */
record DemandKey(TeamName team, int cpuClass, int memoryClass) {

	static DemandKey of(JobSpec spec) {
		Resources declared = spec.resources();
		return new DemandKey(spec.team(), magnitude(declared.cpuMillicores()), magnitude(declared.memoryMebibytes()));
	}

	private static int magnitude(int value) {
		return Integer.SIZE - Integer.numberOfLeadingZeros(value);
	}

}
