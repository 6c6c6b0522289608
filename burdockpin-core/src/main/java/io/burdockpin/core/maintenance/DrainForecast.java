package io.burdockpin.core.maintenance;

import java.util.ArrayList;
import java.util.List;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.placement.RemainingTimeEstimator;
import io.burdockpin.core.state.JobRecord;

/**
 * What the drain of one host is expected to cost. Immutable.
 *
 * @param drainMillis how long the drain takes
 * @param movedJobs repeatable jobs that it stops
 * @param interruptedJobs jobs that are not repeatable and that it interrupts
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
