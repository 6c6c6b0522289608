package io.burdockpin.control.planner;

/**
 * Ensures that at most one planning round runs at a time. A round whose replies are lost
 * is abandoned after a timeout. Mutable; owned by one actor.
 */
final class RoundGate {

	/**
	 * Longer than a proposal takes under load. A lost reply delays planning by this time.
	 */
	private static final long ROUND_TIMEOUT_MILLIS = 2_000;

	private boolean running;

	private long startedMillis;

	/**
	 * Starts a round unless one is running.
	 * @param nowMillis the current time in milliseconds
	 * @return {@code true} if no round is running or the running one has timed out
	 */
	boolean tryStart(long nowMillis) {
		if (this.running && nowMillis - this.startedMillis < ROUND_TIMEOUT_MILLIS) {
			return false;
		}
		this.running = true;
		this.startedMillis = nowMillis;
		return true;
	}

	/** Ends the running round. */
	void end() {
		this.running = false;
	}

}
