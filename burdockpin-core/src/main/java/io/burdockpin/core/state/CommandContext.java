package io.burdockpin.core.state;

import java.util.OptionalLong;

import io.burdockpin.core.exc.ErrorCode;

/**
 * The log entry in which a command is applied. Immutable.
 *
 * @param index index of the log entry, which becomes the version of the changed records
 * @param nowMillis time of the state machine in milliseconds since the epoch
 * @param expectedVersion version of the object that the proposer read last, or empty to
 * skip the check
 */
record CommandContext(long index, long nowMillis, OptionalLong expectedVersion) {

	CommandResult accepted() {
		return new CommandResult.Accepted(this.index);
	}

	CommandResult unchanged(long version) {
		return new CommandResult.Accepted(version);
	}

	void checkVersion(String what, long currentVersion) {
		boolean conflict = this.expectedVersion.isPresent() && this.expectedVersion.getAsLong() != currentVersion;
		CommandRejectedException.rejectIf(conflict, ErrorCode.VERSION_CONFLICT,
				"%s has version %d, not the expected version", what, currentVersion);
	}

}
