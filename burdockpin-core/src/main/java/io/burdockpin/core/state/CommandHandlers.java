package io.burdockpin.core.state;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.exc.ErrorCode;

/**
 * Dispatches each type of command to the rule that applies it. Handlers are registered
 * when the state machine is created.
 */
final class CommandHandlers {

	private final Map<Class<?>, Handler<Command>> handlers = new HashMap<>();

	<C extends Command> void register(Class<C> type, Handler<C> handler) {
		this.handlers.put(type, (command, context) -> handler.apply(type.cast(command), context));
	}

	CommandResult apply(Command command, CommandContext context) {
		Handler<Command> unsupported = (unknown, ignored) -> new CommandResult.Rejected(ErrorCode.INTERNAL,
				"no rule for %s".formatted(unknown.getClass().getSimpleName()));
		return this.handlers.getOrDefault(command.getClass(), unsupported).apply(command, context);
	}

	/**
	 * Applies commands of one type.
	 *
	 * @param <C> type of the commands
	 */
	interface Handler<C extends Command> {

		CommandResult apply(C command, CommandContext context);

	}

}
