package io.burdockpin.core.retry;

import java.util.Optional;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Outcome;

/**
 * Result of an attempt.
 *
 * @param outcome whether the attempt ran
 * @param response the complete response, present if and only if the attempt ran
 * @param code reason for the lack of a response
 * @param message description of the reason
 */
public record AttemptResult(Outcome outcome, Optional<RunnerResponse> response, ErrorCode code, String message) {

	/**
	 * Creates the result of an attempt with a complete response.
	 * @param response the response
	 * @return the result, with outcome {@link Outcome#RAN}
	 */
	public static AttemptResult ran(RunnerResponse response) {
		return new AttemptResult(Outcome.RAN, Optional.of(response), ErrorCode.ALREADY_RAN, "");
	}

	/**
	 * Creates the result of an attempt that is known not to have run.
	 * @param code reason for the failure
	 * @param message description of the reason
	 * @return the result, with outcome {@link Outcome#NOT_RUN}
	 */
	public static AttemptResult notRun(ErrorCode code, String message) {
		return new AttemptResult(Outcome.NOT_RUN, Optional.empty(), code, message);
	}

	/**
	 * Creates the result of an attempt that may have run.
	 * @param code reason for the lack of a response
	 * @param message description of the reason
	 * @return the result, with outcome {@link Outcome#UNKNOWN}
	 */
	public static AttemptResult unknown(ErrorCode code, String message) {
		return new AttemptResult(Outcome.UNKNOWN, Optional.empty(), code, message);
	}

	/**
	 * Tells whether another attempt is safe and may succeed.
	 * @param repeatable whether the caller has marked the request as repeatable
	 * @return whether the request may be retried
	 */
	public boolean permitsRetry(boolean repeatable) {
		if (this.response.isPresent()) {
			return repeatable && this.response.get().isUnavailable();
		}
		return this.outcome.permitsRetry(repeatable);
	}

}
