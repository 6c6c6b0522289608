package io.burdockpin.core.state;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/**
 * Thrown when a rule rejects a command. Always thrown before any record has changed;
 * converted into a {@link CommandResult.Rejected} by {@link FleetState}.
 */
final class CommandRejectedException extends BurdockException {

	CommandRejectedException(ErrorCode code, String message) {
		super(code, message, null);
	}

	static void rejectIf(boolean forbidden, ErrorCode code, String message, Object... arguments) {
		if (forbidden) {
			throw new CommandRejectedException(code, message.formatted(arguments));
		}
	}

}
