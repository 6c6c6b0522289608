package io.burdockpin.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import com.google.common.truth.Truth;
import io.burdockpin.core.exc.ErrorCode;
import org.junit.jupiter.api.Test;

/** Guards against retries that multiply the load when every attempt fails. */
class RetryBudgetTests {

	private static final int SECONDS = 60;

	private static final int REQUESTS_PER_SECOND = 20;

	/**
	 * First attempts plus the retry budget of section 7.4 of the design page, 10% of the
	 * requests and 3 per second.
	 */
	private static final double BOUND = 1.1 * REQUESTS_PER_SECOND * SECONDS + 3.0 * (SECONDS + 1);

	@Test
	void attemptsStayWithinTheBudgetWhenEveryAttemptFails() {
		Truth.assertThat((double) attemptsWhenAllFail(true)).isAtMost(BOUND);
	}

	@Test
	void attemptsWithoutTheBudgetExceedTheBound() {
		Truth.assertThat((double) attemptsWhenAllFail(false)).isGreaterThan(BOUND);
	}

	@Test
	void aQueueWithoutRecentRequestsMayRetryThreeTimesASecond() {
		RetryBudget budget = new RetryBudget();
		Truth.assertThat(List.of(budget.tryRetry(0), budget.tryRetry(0), budget.tryRetry(0), budget.tryRetry(0)))
			.containsExactly(true, true, true, false)
			.inOrder();
		Truth.assertThat(budget.tryRetry(1000)).isTrue();
	}

	private static int attemptsWhenAllFail(boolean usesBudget) {
		RetryBudget budget = new RetryBudget();
		int attemptCount = 0;
		for (int number = 0; number < REQUESTS_PER_SECOND * SECONDS; number++) {
			long nowMillis = number * 1000L / REQUESTS_PER_SECOND;
			budget.recordRequest(nowMillis);
			RequestAttempts<Integer> request = new RequestAttempts<>(true, nowMillis + 30_000);
			Deque<RequestEffect> effects = new ArrayDeque<>(request.start());
			while (effects.peekFirst() instanceof RequestEffect.Enqueue enqueue) {
				effects.clear();
				if (enqueue.retry() && usesBudget && !budget.tryRetry(nowMillis)) {
					effects.addAll(request.onRefused(ErrorCode.NO_RUNNER, "no budget"));
				}
				else {
					attemptCount++;
					request.startAttempt(attemptCount);
					effects.addAll(request.onAttemptResult(
							AttemptResult.notRun(ErrorCode.CONNECTION_FAILED, "never connected"), nowMillis));
				}
			}
		}
		return attemptCount;
	}

}
