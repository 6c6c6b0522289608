package io.burdockpin.core.state;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.exc.ErrorCode;

/** Finds the rule for each type of command. Filled once, then read by its owner. */
final class CommandHandlers {

	private final Map<Class<?>, Handler<Command>> handlers = new HashMap<>();

	<C extends Command> void register(Class<C> type, Handler<C> handler) {
		this.handlers.put(type, (command, change) -> handler.apply(type.cast(command), change));
	}

	CommandResult apply(Command command, CommandContext change) {
		Handler<Command> unsupported = (unknown, ignored) -> new CommandResult.Rejected(ErrorCode.INTERNAL,
				"no rule for %s".formatted(unknown.getClass().getSimpleName()));
		return this.handlers.getOrDefault(command.getClass(), unsupported).apply(command, change);
	}

	/**
	 * Applies one type of command.
	 *
	 * @param <C> the type
	 */
	interface Handler<C extends Command> {

		CommandResult apply(C command, CommandContext change);

	}

}
