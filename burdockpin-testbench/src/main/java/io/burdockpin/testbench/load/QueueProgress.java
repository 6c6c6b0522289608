package io.burdockpin.testbench.load;

/** What was sent to one queue. Mutable; owned by the load actor. */
final class QueueProgress {

	private static final double MILLIS_PER_SECOND = 1000;

	private int inFlight;

	private double owed;

	private long accruedToMillis;

	int inFlight() {
		return this.inFlight;
	}

	void onSent() {
		this.inFlight++;
	}

	void onEnded() {
		this.inFlight--;
	}

	/**
	 * Adds what became due since the last call.
	 * @param requestsPerSecond the rate
	 * @param elapsedMillis time since the start
	 * @return whole requests that are due
	 */
	int accrue(double requestsPerSecond, long elapsedMillis) {
		this.owed += requestsPerSecond * (elapsedMillis - this.accruedToMillis) / MILLIS_PER_SECOND;
		this.accruedToMillis = elapsedMillis;
		int due = (int) this.owed;
		this.owed -= due;
		return due;
	}

}
