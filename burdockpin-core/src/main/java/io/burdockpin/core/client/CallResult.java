package io.burdockpin.core.client;

/** How a call to the control group ended. */
public sealed interface CallResult {

	/**
	 * A member answered.
	 *
	 * @param message the reply
	 */
	record Answered(ClientMessage message) implements CallResult {

	}

	/**
	 * The call certainly had no effect.
	 *
	 * @param reason why
	 */
	record NotProposed(String reason) implements CallResult {

	}

	/**
	 * It is not known whether the call had an effect.
	 *
	 * @param reason why
	 */
	record Unknown(String reason) implements CallResult {

	}

}
