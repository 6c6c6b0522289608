package io.burdockpin.core.batch.lead.host;

/**
 * Separates the orders of two leaders for the same host: a new leader waits for a delay
 * after the last order of an earlier leader. The delay covers the time in which the
 * holder of an order keeps its claim on the host and the time in which an order that was
 * sent may still reach the platform. All times are of the monotonic clock of this member.
 * Immutable.
 */
public final class HandOverPause {

	private final HostOrderHistory history;

	private final long pauseMillis;

	private final long electedMillis;

	public HandOverPause(HostOrderHistory history, long pauseMillis, long electedMillis) {
		this.history = history;
		this.pauseMillis = pauseMillis;
		this.electedMillis = electedMillis;
	}

	/**
	 * Checks whether a new order for a host may be committed and sent. An earlier leader
	 * has committed the end of its order after the answer, so the platform received that
	 * order before this member applied the change.
	 * @param host name of the host
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the delay after the last order of an earlier leader has
	 * elapsed
	 */
	public boolean hasElapsed(String host, long nowMillis) {
		return hasElapsedForOpenOrders(nowMillis) || this.history.quietMillis(host, nowMillis) >= this.pauseMillis;
	}

	/**
	 * Checks whether an order that an earlier leader may have sent may be sent again. The
	 * earlier leader sends nothing after the election of this one.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the delay has elapsed since this leader was elected
	 */
	boolean hasElapsedForOpenOrders(long nowMillis) {
		return nowMillis - this.electedMillis >= this.pauseMillis;
	}

}
