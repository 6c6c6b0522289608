package io.burdockpin.core.event;

/**
 * A hybrid logical clock. Mutable; owned by one actor, which merges the timestamps of the
 * messages it receives and stamps the messages it sends.
 */
public final class HybridClock {

	private static final int MAX_COUNTER = 0xFFFF;

	private HybridTimestamp last = HybridTimestamp.ZERO;

	/**
	 * Returns a timestamp later than all that this clock has returned or merged before.
	 * @param nowMillis the wall-clock time in milliseconds since the epoch
	 * @return the new timestamp
	 */
	public HybridTimestamp tick(long nowMillis) {
		if (nowMillis > this.last.wallMillis()) {
			this.last = new HybridTimestamp(nowMillis, 0);
		}
		else if (this.last.counter() < MAX_COUNTER) {
			this.last = new HybridTimestamp(this.last.wallMillis(), this.last.counter() + 1);
		}
		else {
			this.last = new HybridTimestamp(this.last.wallMillis() + 1, 0);
		}
		return this.last;
	}

	/**
	 * Merges the timestamp of a received message.
	 * @param remote the timestamp of the sender
	 */
	public void merge(HybridTimestamp remote) {
		if (remote.compareTo(this.last) > 0) {
			this.last = remote;
		}
	}

}
