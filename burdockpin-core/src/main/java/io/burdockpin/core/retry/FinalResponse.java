package io.burdockpin.core.retry;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Outcome;

/** The response to the caller. */
public sealed interface FinalResponse {

	/**
	 * Tells whether the request ran.
	 * @return the outcome, {@link Outcome#UNKNOWN} if it may have run
	 */
	Outcome outcome();

	/**
	 * The response of a runner, relayed to the caller.
	 *
	 * @param response the complete response
	 */
	record Relayed(RunnerResponse response) implements FinalResponse {

		@Override
		public Outcome outcome() {
			return Outcome.RAN;
		}

	}

	/**
	 * A refusal.
	 *
	 * @param code error code for the caller
	 * @param outcome whether the request ran
	 * @param message description for the caller
	 */
	record Refused(ErrorCode code, Outcome outcome, String message) implements FinalResponse {

		/**
		 * Creates a refusal with the default outcome of its code.
		 * @param code error code for the caller
		 * @param message description for the caller
		 * @return the refusal
		 */
		public static Refused of(ErrorCode code, String message) {
			return new Refused(code, code.outcome(), message);
		}

	}

}
