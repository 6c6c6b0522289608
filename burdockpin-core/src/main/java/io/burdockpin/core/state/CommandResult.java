package io.burdockpin.core.state;

import io.burdockpin.core.exc.ErrorCode;

/** The deterministic result of applying a command. */
public sealed interface CommandResult {

	/**
	 * Returns whether the command took effect.
	 * @return {@code true} if it was accepted
	 */
	default boolean isAccepted() {
		return this instanceof Accepted;
	}

	/**
	 * The command took effect.
	 *
	 * @param version the version of the object after the command, 0 for objects without a
	 * version that were already in the requested state
	 */
	record Accepted(long version) implements CommandResult {

	}

	/**
	 * The command took no effect.
	 *
	 * @param code the stable error code
	 * @param message the reason, for people
	 */
	record Rejected(ErrorCode code, String message) implements CommandResult {

	}

}
