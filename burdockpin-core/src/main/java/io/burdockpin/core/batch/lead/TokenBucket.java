package io.burdockpin.core.batch.lead;

/** Token bucket rate limiter. Not thread-safe; owned by the leader. */
final class TokenBucket {

	private final double tokensPerMillisecond;

	private final double capacity;

	/** Available tokens, including fractions. */
	private double tokens;

	private long refilledMillis;

	/**
	 * Creates a full bucket.
	 * @param tokensPerMillisecond refill rate
	 * @param capacity maximum number of tokens
	 */
	TokenBucket(double tokensPerMillisecond, double capacity) {
		this.tokensPerMillisecond = tokensPerMillisecond;
		this.capacity = capacity;
		this.tokens = capacity;
	}

	/**
	 * Adds the tokens accrued since the last refill.
	 * @param nowMillis current monotonic time, in milliseconds
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
