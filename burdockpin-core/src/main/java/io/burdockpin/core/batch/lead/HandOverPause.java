package io.burdockpin.core.batch.lead;

import io.burdockpin.core.batch.state.BatchState;

/**
 * Keeps the orders of two leaders about one host apart: a new leader waits after the last
 * order that an earlier one has committed. Immutable.
 */
final class HandOverPause {

	private final BatchState state;

	private final long pauseMillis;

	private final long electedMillis;

	HandOverPause(BatchState state, long pauseMillis, long electedMillis) {
		this.state = state;
		this.pauseMillis = pauseMillis;
		this.electedMillis = electedMillis;
	}

	/**
	 * Tells whether an order about a host may be committed and sent.
	 * @param host the host
	 * @param nowMillis the time of the monotonic clock
	 * @param wallMillis the time of day
	 * @return whether no order of an earlier leader is close
	 */
	boolean hasElapsed(String host, long nowMillis, long wallMillis) {
		boolean ledLongEnough = nowMillis - this.electedMillis >= this.pauseMillis;
		return ledLongEnough || wallMillis - this.state.lastHostOrderMillis(host) >= this.pauseMillis;
	}

	/**
	 * Tells whether an order that an earlier leader may have sent may be sent again.
	 * @param nowMillis the time of the monotonic clock
	 * @return whether this leader has led for the pause
	 */
	boolean hasElapsedForOpenOrders(long nowMillis) {
		return nowMillis - this.electedMillis >= this.pauseMillis;
	}

}
