package io.burdockpin.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries of one queue to a ratio of its recent requests plus a small constant
 * rate, so that retries cannot multiply the load when all attempts fail. Mutable, owned
 * by one actor.
 */
public final class RetryBudget {

	private static final long WINDOW_MILLIS = 10_000;

	private static final long SECOND_MILLIS = 1000;

	private static final double MAXIMUM_RETRY_RATIO = 0.1;

	private static final int MINIMUM_RETRIES_PER_SECOND = 3;

	private final Deque<Long> requestTimesMillis = new ArrayDeque<>();

	private final Deque<Long> ratioRetryTimesMillis = new ArrayDeque<>();

	private final Deque<Long> rateRetryTimesMillis = new ArrayDeque<>();

	/**
	 * Counts a request. Its first attempt needs no budget.
	 * @param nowMillis the current time
	 */
	public void recordRequest(long nowMillis) {
		this.requestTimesMillis.addLast(nowMillis);
		discard(nowMillis);
	}

	/**
	 * Takes one retry from the budget.
	 * @param nowMillis the current time
	 * @return {@code false} if the budget is exhausted
	 */
	public boolean tryRetry(long nowMillis) {
		discard(nowMillis);
		if (this.rateRetryTimesMillis.size() < MINIMUM_RETRIES_PER_SECOND) {
			return this.rateRetryTimesMillis.add(nowMillis);
		}
		if (this.ratioRetryTimesMillis.size() + 1 <= MAXIMUM_RETRY_RATIO * this.requestTimesMillis.size()) {
			return this.ratioRetryTimesMillis.add(nowMillis);
		}
		return false;
	}

	private void discard(long nowMillis) {
		discard(this.requestTimesMillis, nowMillis - WINDOW_MILLIS);
		discard(this.ratioRetryTimesMillis, nowMillis - WINDOW_MILLIS);
		discard(this.rateRetryTimesMillis, nowMillis - SECOND_MILLIS);
	}

	private static void discard(Deque<Long> timesMillis, long oldestMillis) {
		while (!timesMillis.isEmpty() && timesMillis.peekFirst() <= oldestMillis) {
			timesMillis.removeFirst();
		}
	}

}
