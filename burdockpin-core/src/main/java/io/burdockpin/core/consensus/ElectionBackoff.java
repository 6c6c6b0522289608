package io.burdockpin.core.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Lengthens the time without a heartbeat that ends a leadership while leaders follow each
 * other quickly. A new leader has more to do than one that leads for long. On slow hosts
 * its heartbeats are late, and each replacement would begin that work anew. The first
 * election after a calm time is not delayed. Mutable; owned by the replica.
 */
final class ElectionBackoff {

	/** Longer than a new leader of hundreds of runners takes to ask them all. */
	private static final long WINDOW_MILLIS = 10_000;

	/** Waits of up to four seconds are still shorter than leases. */
	private static final int MAXIMUM_FACTOR = 4;

	private final Deque<Long> leaderChangesMillis = new ArrayDeque<>();

	private long newestTerm = -1;

	/**
	 * Takes note of a leader.
	 * @param term its term
	 * @param nowMillis the time
	 */
	void onLeader(long term, long nowMillis) {
		if (term > this.newestTerm) {
			this.newestTerm = term;
			this.leaderChangesMillis.add(nowMillis);
		}
	}

	/**
	 * Returns by how much timeouts are longer than usual.
	 * @param nowMillis the time
	 * @return the factor: 1, 2 or 4
	 */
	int timeoutFactor(long nowMillis) {
		while (!this.leaderChangesMillis.isEmpty() && nowMillis - this.leaderChangesMillis.peek() > WINDOW_MILLIS) {
			this.leaderChangesMillis.remove();
		}
		int earlierChangeCount = Math.max(0, this.leaderChangesMillis.size() - 1);
		return Math.min(1 << Math.min(earlierChangeCount, MAXIMUM_FACTOR), MAXIMUM_FACTOR);
	}

}
