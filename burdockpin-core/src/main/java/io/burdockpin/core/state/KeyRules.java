package io.burdockpin.core.state;

import io.burdockpin.core.exc.ErrorCode;

/**
 * Applies the commands for team keys. The record of a withdrawn key is kept, so that the
 * key can never be granted again. Shares the tables with the other rules of the state
 * machine.
 */
final class KeyRules {

	private static final int MAX_LABEL_LENGTH = 200;

	private final FleetTables tables;

	KeyRules(FleetTables tables) {
		this.tables = tables;
	}

	void register(CommandHandlers handlers) {
		handlers.register(ConfigurationCommand.GrantKey.class, this::grant);
		handlers.register(ConfigurationCommand.WithdrawKey.class, this::withdraw);
	}

	private CommandResult grant(ConfigurationCommand.GrantKey command, CommandContext context) {
		this.tables.teams.require(command.team());
		boolean withdrawn = this.tables.keys.find(command.keyHash()).filter(KeyRecord::withdrawn).isPresent();
		CommandRejectedException.rejectIf(withdrawn, ErrorCode.KEY_WITHDRAWN, "key %s has been withdrawn",
				command.keyHash());
		CommandRejectedException.rejectIf(command.label().length() > MAX_LABEL_LENGTH, ErrorCode.BAD_REQUEST,
				"the label has more than %d characters", MAX_LABEL_LENGTH);
		this.tables.keys.requireAbsent(command.keyHash(), context);
		this.tables.keys.put(new KeyRecord(command.keyHash(), command.team(), command.label(), false, context.index()));
		return context.accepted();
	}

	private CommandResult withdraw(ConfigurationCommand.WithdrawKey command, CommandContext context) {
		KeyRecord key = this.tables.keys.require(command.keyHash());
		if (key.withdrawn()) {
			return context.unchanged(key.version());
		}
		context.checkVersion("key " + key.hash(), key.version());
		this.tables.keys.put(new KeyRecord(key.hash(), key.team(), key.label(), true, context.index()));
		return context.accepted();
	}

}
