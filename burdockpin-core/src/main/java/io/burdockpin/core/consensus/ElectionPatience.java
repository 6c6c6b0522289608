package io.burdockpin.core.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Lengthens the time without a heartbeat that ends a leadership while leaders follow each
 * other quickly. A new leader has more to do than one that leads for long. On slow hosts
 * its heartbeats are late, and each replacement would begin that work anew. The first
 * election after a calm time is not delayed. Mutable; owned by the replica.
 */
final class ElectionPatience {

	/** Longer than a new leader of hundreds of runners takes to ask them all. */
	private static final long MEMORY_MILLIS = 10_000;

	/** Waits of up to four seconds are still shorter than leases. */
	private static final int MAXIMUM_FACTOR = 4;

	private final Deque<Long> leadersMillis = new ArrayDeque<>();

	private long newestTerm = -1;

	/**
	 * Takes note of a leader.
	 * @param term its term
	 * @param nowMillis the time
	 */
	void onLeader(long term, long nowMillis) {
		if (term > this.newestTerm) {
			this.newestTerm = term;
			this.leadersMillis.add(nowMillis);
		}
	}

	/**
	 * Returns by how much timeouts are longer than usual.
	 * @param nowMillis the time
	 * @return the factor: 1, 2 or 4
	 */
	int factor(long nowMillis) {
		while (!this.leadersMillis.isEmpty() && nowMillis - this.leadersMillis.peek() > MEMORY_MILLIS) {
			this.leadersMillis.remove();
		}
		int earlier = Math.max(0, this.leadersMillis.size() - 1);
		return Math.min(1 << Math.min(earlier, MAXIMUM_FACTOR), MAXIMUM_FACTOR);
	}

}
