package io.burdockpin.core.client;

/** Result of a call to the control group. */
public sealed interface CallResult {

	/**
	 * A member replied.
	 *
	 * @param message the reply
	 */
	record Answered(ClientMessage message) implements CallResult {

	}

	/**
	 * The call certainly had no effect.
	 *
	 * @param reason why it failed, for error messages
	 */
	record NotProposed(String reason) implements CallResult {

	}

	/**
	 * It is unknown whether the call had an effect.
	 *
	 * @param reason why the outcome is unknown, for error messages
	 */
	record Unknown(String reason) implements CallResult {

	}

}
