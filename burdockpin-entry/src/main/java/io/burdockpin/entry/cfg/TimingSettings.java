package io.burdockpin.entry.cfg;

import io.burdockpin.core.util.Checks;

/**
 * Periods and timeouts. Missing values get their defaults.
 *
 * @param attachmentMillis how long a runner stays attached after an announcement, default
 * 3 s
 * @param peerStatusMillis period of the status to other entry hosts, default 200 ms
 * @param peerSilentMillis after which a peer counts as silent, default 1 s
 * @param proposalMillis how long a proposal may take, default 5 s
 * @param workerBatchMillis period of worker reports to the leader, default 250 ms
 * @param tokenReportMillis period of token reports, default 1 s
 * @param unverifiedKeyGraceSeconds how long known keys are accepted without a control
 * majority, default 600 s
 * @param claimWindowMillis oldest identifier of a request that is not repeatable, default
 * 1 h
 * @param claimFutureMillis how far such an identifier may lie in the future, default 5
 * min
 * @param balancerGraceMillis how long requests are accepted after a stop was asked for,
 * default 2 s
 * @param nearRoundTripMillis round trip within the data centre, default 1 ms
 * @param farRoundTripMillis round trip to another data centre, default 4 ms
 * @param runnerIdleMillis how long an idle connection to a runner is kept, default 3 s
 * @param unchangedWorkerMillis how long a worker with an unchanged report is not named to
 * the leader, default 5 s; never longer than a quarter of a job lease
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
		// As short as an attachment, so that none outlives a lost runner for long. Common
		// HTTP servers close idle connections after 5 s.
		runnerIdleMillis = checkedOrDefault("runnerIdleMillis", runnerIdleMillis, 3000, MINUTE_MILLIS);
		unchangedWorkerMillis = checkedOrDefault("unchangedWorkerMillis", unchangedWorkerMillis, 5000, MINUTE_MILLIS);
	}

	/**
	 * Returns the defaults.
	 * @return settings without any value given
	 */
	public static TimingSettings defaults() {
		return new TimingSettings(null, null, null, null, null, null, null, null, null, null, null, null, null, null);
	}

	private static int checkedOrDefault(String what, Integer value, int defaultValue, int largest) {
		return Checks.range(what, (value != null) ? value : defaultValue, 1, largest);
	}

}
