package io.burdockpin.core.placement;

import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;

/**
 * Groups the jobs of one team whose declared sizes fall between the same powers of two.
 * Such jobs share one correction of their declared sizes and run times. Immutable.
 *
 * @param team the team that owns the jobs
 * @param cpuMagnitude binary order of magnitude of the declared processor capacity
 * @param memoryMagnitude binary order of magnitude of the declared memory
 */
record JobSizeClass(TeamName team, int cpuMagnitude, int memoryMagnitude) {

	static JobSizeClass of(JobSpec spec) {
		Resources declared = spec.resources();
		return new JobSizeClass(spec.team(), magnitude(declared.cpuMillicores()),
				magnitude(declared.memoryMebibytes()));
	}

	private static int magnitude(int value) {
		return Integer.SIZE - Integer.numberOfLeadingZeros(value);
	}

}
