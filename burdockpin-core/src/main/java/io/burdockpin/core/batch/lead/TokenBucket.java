package io.burdockpin.core.batch.lead;

/**
 * Bounds the rate of something by a token bucket that begins full. Mutable; owned by the
 * leader.
 */
final class TokenBucket {

	private final double tokensPerMillisecond;

	private final double capacity;

	/** What may be done now, fractions included. */
	private double tokens;

	private long refilledMillis;

	/**
	 * Creates a full bucket.
	 * @param tokensPerMilli the rate, per millisecond
	 * @param capacity how many may be taken at once
	 */
	TokenBucket(double tokensPerMilli, double capacity) {
		this.tokensPerMillisecond = tokensPerMilli;
		this.capacity = capacity;
		this.tokens = capacity;
	}

	/**
	 * Adds what has accrued.
	 * @param nowMillis the time of the monotonic clock
	 */
	void refill(long nowMillis) {
		double accrued = this.tokensPerMillisecond * (nowMillis - this.refilledMillis);
		this.tokens = Math.min(this.capacity, this.tokens + accrued);
		this.refilledMillis = nowMillis;
	}

	boolean hasToken() {
		return this.tokens >= 1;
	}

	void take() {
		this.tokens--;
	}

}
