package io.burdockpin.core.state;

import io.burdockpin.core.exc.ErrorCode;

/** The deterministic result of applying a command. */
public sealed interface CommandResult {

	/**
	 * Tells whether the command took effect.
	 * @return {@code true} if it was accepted
	 */
	default boolean isAccepted() {
		return this instanceof Accepted;
	}

	/**
	 * The command took effect.
	 *
	 * @param version the new version of the changed object
	 */
	record Accepted(long version) implements CommandResult {

	}

	/**
	 * The command took no effect.
	 *
	 * @param code why
	 * @param message the reason in words
	 */
	record Rejected(ErrorCode code, String message) implements CommandResult {

	}

}
