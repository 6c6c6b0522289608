package io.burdockpin.control.planner;

/**
 * Lets one planning round run at a time. A round whose replies are lost is given up after
 * a while. Mutable, owned by one actor.
 */
final class RoundGate {

	/**
	 * Longer than a proposal takes under load; a lost reply delays planning this long.
	 */
	private static final long ROUND_TIMEOUT_MILLIS = 2_000;

	private boolean running;

	private long startedMillis;

	/**
	 * Starts a round unless one is running.
	 * @param nowMillis the current time
	 * @return {@code true} if the round may start
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
