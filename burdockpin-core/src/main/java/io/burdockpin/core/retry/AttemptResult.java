package io.burdockpin.core.retry;

import java.util.Optional;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Outcome;

/**
 * How an attempt ended.
 *
 * @param outcome whether it ran
 * @param response the complete answer, present exactly when it ran
 * @param code the reason if there is no answer
 * @param message the reason in words
 */
public record AttemptResult(Outcome outcome, Optional<RunnerResponse> response, ErrorCode code, String message) {

	/**
	 * Creates the result of an attempt with a complete answer.
	 * @param answer the answer
	 * @return the result
	 */
	public static AttemptResult ran(RunnerResponse answer) {
		return new AttemptResult(Outcome.RAN, Optional.of(answer), ErrorCode.ALREADY_RAN, "");
	}

	/**
	 * Creates the result of an attempt that certainly did not run.
	 * @param code the reason
	 * @param message the reason in words
	 * @return the result
	 */
	public static AttemptResult notRun(ErrorCode code, String message) {
		return new AttemptResult(Outcome.NOT_RUN, Optional.empty(), code, message);
	}

	/**
	 * Creates the result of an attempt that may have run.
	 * @param code the reason
	 * @param message the reason in words
	 * @return the result
	 */
	public static AttemptResult unknown(ErrorCode code, String message) {
		return new AttemptResult(Outcome.UNKNOWN, Optional.empty(), code, message);
	}

	/**
	 * Tells whether another attempt is safe and may help.
	 * @param repeatable whether the caller marked the request as repeatable
	 * @return whether to retry
	 */
	public boolean permitsRetry(boolean repeatable) {
		if (this.response.isPresent()) {
			return repeatable && this.response.get().isUnavailable();
		}
		return this.outcome.permitsRetry(repeatable);
	}

}
