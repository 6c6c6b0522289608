package io.burdockpin.core.batch.lead.host;

/** Token bucket rate limiter. Not thread-safe; owned by the leader. */
public final class TokenBucket {

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
	public TokenBucket(double tokensPerMillisecond, double capacity) {
		this.tokensPerMillisecond = tokensPerMillisecond;
		this.capacity = capacity;
		this.tokens = capacity;
	}

	/**
	 * Adds the tokens accrued since the last refill.
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void refill(long nowMillis) {
		double accrued = this.tokensPerMillisecond * (nowMillis - this.refilledMillis);
		this.tokens = Math.min(this.capacity, this.tokens + accrued);
		this.refilledMillis = nowMillis;
	}

	public boolean hasToken() {
		return this.tokens >= 1;
	}

	public void take() {
		this.tokens--;
	}

}
