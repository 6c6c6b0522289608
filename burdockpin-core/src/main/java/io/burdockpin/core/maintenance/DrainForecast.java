package io.burdockpin.core.maintenance;

import java.util.ArrayList;
import java.util.List;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.placement.RemainingTimeEstimator;
import io.burdockpin.core.state.JobRecord;

/**
 * Expected cost of draining one host. Immutable.
 *
 * @param drainMillis expected duration of the drain
 * @param movedJobs repeatable jobs that the drain stops
 * @param interruptedJobs jobs that are not repeatable and that the drain interrupts
 */
record DrainForecast(long drainMillis, List<JobId> movedJobs, List<JobId> interruptedJobs) {

	static DrainForecast of(List<JobRecord> jobs, RemainingTimeEstimator remainingTime, long limitMillis,
			long nowMillis) {
		List<JobId> moved = new ArrayList<>();
		List<JobId> ended = new ArrayList<>();
		long longestMillis = 0;
		for (JobRecord job : jobs) {
			long remainingMillis = remainingTime.expectedRemainingMillis(job, nowMillis);
			if (remainingMillis <= limitMillis) {
				longestMillis = Math.max(longestMillis, remainingMillis);
			}
			else if (job.spec().repeatable()) {
				moved.add(job.id());
			}
			else {
				longestMillis = limitMillis;
				ended.add(job.id());
			}
		}
		return new DrainForecast(longestMillis, moved, ended);
	}

}
