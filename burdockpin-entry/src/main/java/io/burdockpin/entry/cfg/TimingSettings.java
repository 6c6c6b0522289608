package io.burdockpin.entry.cfg;

import io.burdockpin.core.util.Checks;

/**
 * Intervals, timeouts and time windows. Missing values get their defaults.
 *
 * @param attachmentMillis time for which a runner stays attached after its last
 * announcement, default 3 s
 * @param peerStatusMillis interval between status messages to other entry hosts, default
 * 200 ms
 * @param peerSilentMillis time without a message after which a peer is considered
 * unreachable, default 1 s
 * @param proposalMillis timeout of a proposal to the leader, default 5 s
 * @param workerBatchMillis interval between batches of worker reports to the leader,
 * default 250 ms
 * @param tokenReportMillis interval between token reports to the leader, default 1 s
 * @param unverifiedKeyGraceSeconds time for which known keys are accepted while no
 * control majority confirms them, default 600 s
 * @param claimWindowMillis maximum age of the identifier of a request that is not
 * repeatable, default 1 h
 * @param claimFutureMillis maximum time that such an identifier may lie in the future,
 * default 5 min
 * @param balancerGraceMillis time for which requests are still accepted after a stop was
 * requested, so that load balancers notice it, default 2 s
 * @param nearRoundTripMillis round-trip time within the data centre, default 1 ms
 * @param farRoundTripMillis round-trip time to another data centre, default 4 ms
 * @param runnerIdleMillis time after which an idle connection to a runner is closed,
 * default 3 s
 * @param unchangedWorkerMillis time for which a worker with an unchanged report is left
 * out of the batches to the leader, default 5 s; at most a quarter of a job lease
 */
public record TimingSettings(Integer attachmentMillis, Integer peerStatusMillis, Integer peerSilentMillis,
		Integer proposalMillis, Integer workerBatchMillis, Integer tokenReportMillis, Integer unverifiedKeyGraceSeconds,
		Integer claimWindowMillis, Integer claimFutureMillis, Integer balancerGraceMillis, Integer nearRoundTripMillis,
		Integer farRoundTripMillis, Integer runnerIdleMillis, Integer unchangedWorkerMillis) {

	private static final int MINUTE_MILLIS = 60_000;

	private static final int HOUR_MILLIS = 3_600_000;

	private static final int DAY_SECONDS = 86_400;

	public TimingSettings {
		attachmentMillis = checkedOrDefault("attachmentMillis", attachmentMillis, 3000, MINUTE_MILLIS);
		peerStatusMillis = checkedOrDefault("peerStatusMillis", peerStatusMillis, 200, MINUTE_MILLIS);
		peerSilentMillis = checkedOrDefault("peerSilentMillis", peerSilentMillis, 1000, MINUTE_MILLIS);
		proposalMillis = checkedOrDefault("proposalMillis", proposalMillis, 5000, MINUTE_MILLIS);
		workerBatchMillis = checkedOrDefault("workerBatchMillis", workerBatchMillis, 250, MINUTE_MILLIS);
		tokenReportMillis = checkedOrDefault("tokenReportMillis", tokenReportMillis, 1000, MINUTE_MILLIS);
		unverifiedKeyGraceSeconds = checkedOrDefault("unverifiedKeyGraceSeconds", unverifiedKeyGraceSeconds, 600,
				DAY_SECONDS);
		claimWindowMillis = checkedOrDefault("claimWindowMillis", claimWindowMillis, HOUR_MILLIS, HOUR_MILLIS);
		claimFutureMillis = checkedOrDefault("claimFutureMillis", claimFutureMillis, 5 * MINUTE_MILLIS,
				5 * MINUTE_MILLIS);
		balancerGraceMillis = checkedOrDefault("balancerGraceMillis", balancerGraceMillis, 2000, MINUTE_MILLIS);
		nearRoundTripMillis = checkedOrDefault("nearRoundTripMillis", nearRoundTripMillis, 1, MINUTE_MILLIS);
		farRoundTripMillis = checkedOrDefault("farRoundTripMillis", farRoundTripMillis, 4, MINUTE_MILLIS);
		// Equal to attachmentMillis, so that no connection long outlives a lost runner,
		// and below the 5 s after which common HTTP servers close idle connections.
		runnerIdleMillis = checkedOrDefault("runnerIdleMillis", runnerIdleMillis, 3000, MINUTE_MILLIS);
		unchangedWorkerMillis = checkedOrDefault("unchangedWorkerMillis", unchangedWorkerMillis, 5000, MINUTE_MILLIS);
	}

	/**
	 * Returns the default timing.
	 * @return settings in which every value has its default
	 */
	public static TimingSettings defaults() {
		return new TimingSettings(null, null, null, null, null, null, null, null, null, null, null, null, null, null);
	}

	private static int checkedOrDefault(String name, Integer value, int defaultValue, int maximum) {
		return Checks.range(name, (value != null) ? value : defaultValue, 1, maximum);
	}

}
