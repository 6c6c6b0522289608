package io.burdockpin.core.retry;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Outcome;

/** What the caller gets. */
public sealed interface FinalResponse {

	/**
	 * Returns what is known about whether the request ran.
	 * @return the outcome
	 */
	Outcome outcome();

	/**
	 * The answer of a runner.
	 *
	 * @param response the whole answer
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
	 * @param code the reason
	 * @param outcome what is known about whether the request ran
	 * @param message the reason in words
	 */
	record Refused(ErrorCode code, Outcome outcome, String message) implements FinalResponse {

		/**
		 * Creates a refusal with the outcome of its code.
		 * @param code the reason
		 * @param message the reason in words
		 * @return the refusal
		 */
		public static Refused of(ErrorCode code, String message) {
			return new Refused(code, code.outcome(), message);
		}

	}

}
