package io.burdockpin.core.state;

import java.util.OptionalLong;

import io.burdockpin.core.exc.ErrorCode;

/**
 * What the rules know about the log entry that they apply. Immutable.
 *
 * @param index its log index, which becomes the version of what it changes
 * @param nowMillis time of the state machine in milliseconds since the epoch
 * @param expectedVersion the version that the proposer has seen
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
