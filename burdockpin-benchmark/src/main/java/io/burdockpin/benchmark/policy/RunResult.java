package io.burdockpin.benchmark.policy;

/**
 * What a run measured. Immutable.
 *
 * @param bufferPercent time average of the idle capacity on occupied hosts, in percent of
 * the fleet
 * @param bufferBoundPercent the same if the used capacity of each pool were packed
 * perfectly on whole hosts
 * @param rolloutMillis virtual time from the start of the campaign to its completion, or
 * to the end of the run if it did not complete
 * @param rolloutCompleted whether the campaign completed
 * @param rolloutBoundMillis lower bound from budgets and reboot time
 * @param moveCount how often a job that had started had to start again
 * @param shareNearnessPercent 100 if every team had its fair share at all times when jobs
 * were waiting
 * @param urgentStartP99Millis 99th percentile of the time from submission to start of
 * urgent jobs
 * @param urgentStartCount number of urgent jobs that started
 * @param finishedCount jobs that succeeded
 * @param failedCount jobs that ended as failed
 * @param unknownCount jobs that ended with an unknown outcome
 * @param submittedCount jobs submitted
 * @param usedPercent time average of the used capacity, in percent of the fleet
 * @param usedBoundPercent demand in percent of the capacity, at most 100
 */
public record RunResult(double bufferPercent, double bufferBoundPercent, long rolloutMillis, boolean rolloutCompleted,
		long rolloutBoundMillis, int moveCount, double shareNearnessPercent, long urgentStartP99Millis,
		int urgentStartCount, int finishedCount, int failedCount, int unknownCount, int submittedCount,
		double usedPercent, double usedBoundPercent) {
}
