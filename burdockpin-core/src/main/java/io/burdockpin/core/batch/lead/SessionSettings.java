package io.burdockpin.core.batch.lead;

import io.burdockpin.core.util.Checks;

/**
 * Settings of the leader's dealings with runners. Immutable.
 *
 * @param leaseMillis how long a runner goes on without hearing from the leader; long
 * enough for a change of leader and the restart of all control members. All members give
 * the same lease, so it also bounds what an earlier leader has given; a shorter one must
 * not be brought in while members with a longer one run
 * @param longPollMillis how long a runner may keep an idle request for its lists
 * @param answerTimeoutMillis how long the leader waits for an answer beyond that
 * @param orderOverdueMillis how long an order may be without an answer before the runner
 * gets no further tasks
 * @param retryMillis pause before an order without an answer is sent again
 * @param silenceTimeoutMillis how long a runner may be silent before it gets no new tasks
 */
public record SessionSettings(int leaseMillis, int longPollMillis, int answerTimeoutMillis, int orderOverdueMillis,
		int retryMillis, int silenceTimeoutMillis) {

	/** The clock of a runner may be slow by two parts in a hundred. */
	private static final int CLOCK_RATE_DIVISOR = 49;

	/** Covers timers that fire late on a busy host. */
	private static final int MARGIN_MILLIS = 300;

	/**
	 * A leader that lost its majority goes on for at most this time before it steps down;
	 * the longest election timeout.
	 */
	private static final int STEP_DOWN_MILLIS = 2_000;

	public SessionSettings {
		Checks.range("leaseMillis", leaseMillis, 1_000, 600_000);
		Checks.range("listenMillis", longPollMillis, 0, 2_000);
		Checks.range("answerTimeoutMillis", answerTimeoutMillis, 50, 60_000);
		Checks.range("doubtMillis", orderOverdueMillis, 10, answerTimeoutMillis);
		Checks.range("retryMillis", retryMillis, 10, 60_000);
		Checks.range("silentMillis", silenceTimeoutMillis, longPollMillis, 60_000);
	}

	/**
	 * Returns after which own time a lease has certainly ended.
	 * @param remainingMillis what was left of it by the clock of the runner
	 * @return the time by the own clock
	 */
	long safeExpiryMillis(long remainingMillis) {
		return remainingMillis + remainingMillis / CLOCK_RATE_DIVISOR + MARGIN_MILLIS;
	}

	/**
	 * Returns after which own time no lease that an earlier leader gave lasts.
	 * @return the time since the election
	 */
	long earlierLeaseExpiryMillis() {
		return STEP_DOWN_MILLIS + safeExpiryMillis(this.leaseMillis);
	}

}
