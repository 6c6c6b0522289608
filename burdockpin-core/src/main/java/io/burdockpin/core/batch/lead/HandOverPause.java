package io.burdockpin.core.batch.lead;

import io.burdockpin.core.batch.state.BatchState;

/**
 * Separates the orders of two leaders for the same host: a new leader waits for a delay
 * after the last order that an earlier leader committed. Immutable.
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
	 * Checks whether an order for a host may be committed and sent.
	 * @param host name of the host
	 * @param nowMillis current monotonic time, in milliseconds
	 * @param wallMillis current wall-clock time, in milliseconds since the epoch
	 * @return {@code true} if the delay after the last order of an earlier leader has
	 * elapsed
	 */
	boolean hasElapsed(String host, long nowMillis, long wallMillis) {
		boolean ledLongEnough = nowMillis - this.electedMillis >= this.pauseMillis;
		return ledLongEnough || wallMillis - this.state.lastHostOrderMillis(host) >= this.pauseMillis;
	}

	/**
	 * Checks whether an order that an earlier leader may have sent may be sent again.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the delay has elapsed since this leader was elected
	 */
	boolean hasElapsedForOpenOrders(long nowMillis) {
		return nowMillis - this.electedMillis >= this.pauseMillis;
	}

}
