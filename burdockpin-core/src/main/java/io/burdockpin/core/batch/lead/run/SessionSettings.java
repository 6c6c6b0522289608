package io.burdockpin.core.batch.lead.run;

import io.burdockpin.core.util.Checks;

/**
 * Settings of the sessions with runners.
 *
 * @param leaseMillis time for which a runner continues without contact to the leader;
 * long enough for a change of leader and a restart of all control members. All members
 * grant the same lease, so it also bounds the leases granted by earlier leaders; it must
 * not be reduced while members with a longer lease are running
 * @param longPollMillis maximum time for which a runner delays the answer to a heartbeat
 * while it has no news
 * @param answerTimeoutMillis time to wait for an answer in addition to that delay
 * @param orderOverdueMillis time after which an unanswered order keeps the runner from
 * getting new tasks
 * @param retryMillis delay before an unanswered order is sent again
 * @param silenceTimeoutMillis time without contact after which a runner gets no new tasks
 */
public record SessionSettings(int leaseMillis, int longPollMillis, int answerTimeoutMillis, int orderOverdueMillis,
		int retryMillis, int silenceTimeoutMillis) {

	/** Allows for a runner clock that is up to 2% slow. */
	private static final int CLOCK_RATE_DIVISOR = 49;

	/** Allows for timers that fire late on a busy host. */
	private static final int MARGIN_MILLIS = 300;

	/**
	 * Earlier leaders grant nothing after the election. The additional time lets a busy
	 * new leader contact all runners before it counts their leases as expired.
	 */
	private static final int FIRST_CONTACT_MILLIS = 2_000;

	public SessionSettings {
		Checks.range("leaseMillis", leaseMillis, 1_000, 600_000);
		Checks.range("longPollMillis", longPollMillis, 0, 2_000);
		Checks.range("answerTimeoutMillis", answerTimeoutMillis, 50, 60_000);
		Checks.range("orderOverdueMillis", orderOverdueMillis, 10, answerTimeoutMillis);
		Checks.range("retryMillis", retryMillis, 10, 60_000);
		Checks.range("silenceTimeoutMillis", silenceTimeoutMillis, longPollMillis, 60_000);
	}

	/**
	 * Returns the local time after which a lease has definitely expired.
	 * @param remainingMillis remaining time on the runner's clock
	 * @return time in milliseconds, on the local clock
	 */
	long safeExpiryMillis(long remainingMillis) {
		return remainingMillis + remainingMillis / CLOCK_RATE_DIVISOR + MARGIN_MILLIS;
	}

	/**
	 * Returns the time after which all leases granted by earlier leaders and sessions
	 * have expired.
	 * @return time in milliseconds since the session was opened
	 */
	public long earlierLeaseExpiryMillis() {
		return FIRST_CONTACT_MILLIS + safeExpiryMillis(this.leaseMillis);
	}

}
