package io.burdockpin.core.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Increases election timeouts while the leader changes frequently. A new leader has more
 * work than an established one, so on slow hosts its heartbeats are late, and replacing
 * it would only restart that work. The first election after a stable period uses the
 * normal timeout. Mutable; owned by one replica.
 */
final class ElectionBackoff {

	/** Longer than a new leader needs to query several hundred runners. */
	private static final long WINDOW_MILLIS = 10_000;

	/** Limits timeouts to four seconds, which is still shorter than a lease. */
	private static final int MAXIMUM_FACTOR = 4;

	private final Deque<Long> leaderChangesMillis = new ArrayDeque<>();

	private long newestTerm = -1;

	/**
	 * Records a leader. Repeated calls for the same term have no effect.
	 * @param term the term of the leader
	 * @param nowMillis the current monotonic time
	 */
	void onLeader(long term, long nowMillis) {
		if (term > this.newestTerm) {
			this.newestTerm = term;
			this.leaderChangesMillis.add(nowMillis);
		}
	}

	/**
	 * Returns the multiplier of election timeouts. It doubles with each leader change
	 * within the window.
	 * @param nowMillis the current monotonic time
	 * @return 1, 2 or 4
	 */
	int timeoutFactor(long nowMillis) {
		while (!this.leaderChangesMillis.isEmpty() && nowMillis - this.leaderChangesMillis.peek() > WINDOW_MILLIS) {
			this.leaderChangesMillis.remove();
		}
		int earlierChangeCount = Math.max(0, this.leaderChangesMillis.size() - 1);
		return Math.min(1 << Math.min(earlierChangeCount, MAXIMUM_FACTOR), MAXIMUM_FACTOR);
	}

}
