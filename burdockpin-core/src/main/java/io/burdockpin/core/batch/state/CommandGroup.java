package io.burdockpin.core.batch.state;

import java.util.List;

/**
 * Commands that are committed together as one log entry.
 *
 * @param atMillis when they were proposed, in milliseconds since 1970
 * @param commands the commands in the order in which they are applied
 */
public record CommandGroup(long atMillis, List<BatchCommand> commands) {

	public CommandGroup {
		commands = List.copyOf(commands);
	}

}
