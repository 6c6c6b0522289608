package io.burdockpin.benchmark.policy;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Resources;

/**
 * What a job really needs, which the planner learns only from reports. Immutable.
 *
 * @param job the job
 * @param spec its declaration
 * @param usage what it really uses
 * @param runMillis how long it really runs at full speed
 */
record JobTruth(JobId job, JobSpec spec, Resources usage, long runMillis) {

	double workMillicoreMillis() {
		return (double) this.usage.cpuMillicores() * this.runMillis;
	}

}
