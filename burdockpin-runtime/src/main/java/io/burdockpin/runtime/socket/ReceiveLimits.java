package io.burdockpin.runtime.socket;

import io.burdockpin.core.util.Checks;

/**
 * Limits of what the connections of one listener may hold, and of how long they may hold
 * it. Immutable.
 *
 * @param heldBytes bytes that all connections together may hold: received bytes until
 * their request has its response, and responses that their peers have not read
 * @param connections number of connections
 * @param headMillis time for a header section, from the first byte of a request
 * @param bodyMillis period for which the minimum rate of a body is checked
 * @param minimumBytesPerSecond minimum rate of a body, in each period
 * @param idleMillis time for which a connection may stay open without a request
 */
public record ReceiveLimits(int heldBytes, int connections, int headMillis, int bodyMillis, int minimumBytesPerSecond,
		int idleMillis) {

	/** For listeners whose clients need no other limits. */
	public static final ReceiveLimits DEFAULT = new ReceiveLimits(8 * 1_024 * 1_024, 2_000, 5_000, 10_000, 4_096,
			60_000);

	/** A limit on handlers that never answer; longer than any request takes. */
	static final int HANDLING_MILLIS = 60_000;

	/** Time in which the peer of a rejected request may read the response. */
	static final int CLOSING_MILLIS = 1_000;

	public ReceiveLimits {
		Checks.range("heldBytes", heldBytes, 16 * 1_024, Integer.MAX_VALUE / 2);
		Checks.range("connections", connections, 1, 3_500);
		Checks.range("headMillis", headMillis, 100, 600_000);
		Checks.range("bodyMillis", bodyMillis, 100, 600_000);
		Checks.range("minimumBytesPerSecond", minimumBytesPerSecond, 0, 1_024 * 1_024);
		Checks.range("idleMillis", idleMillis, 100, 3_600_000);
	}

	/**
	 * Returns the number of bytes that are noticeable progress of a body.
	 * @return the bytes of one period at the minimum rate
	 */
	long bytesPerPeriod() {
		return (long) this.minimumBytesPerSecond * this.bodyMillis / 1_000;
	}

}
