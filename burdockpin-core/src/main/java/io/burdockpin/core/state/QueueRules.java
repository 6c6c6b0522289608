package io.burdockpin.core.state;

/**
 * Applies the commands for queues. Shares the tables with the other rules of the state
 * machine.
 */
final class QueueRules {

	private final FleetTables tables;

	QueueRules(FleetTables tables) {
		this.tables = tables;
	}

	void register(CommandHandlers handlers) {
		handlers.register(ConfigurationCommand.CreateQueue.class, this::create);
		handlers.register(ConfigurationCommand.UpdateQueue.class, this::update);
		handlers.register(ConfigurationCommand.DeleteQueue.class, this::delete);
	}

	private CommandResult create(ConfigurationCommand.CreateQueue command, CommandContext context) {
		this.tables.queues.requireAbsent(command.queue(), context);
		this.tables.queues.put(new QueueRecord(command.queue(), command.open(), context.index()));
		return context.accepted();
	}

	private CommandResult update(ConfigurationCommand.UpdateQueue command, CommandContext context) {
		this.tables.queues.require(command.queue(), context);
		this.tables.queues.put(new QueueRecord(command.queue(), command.open(), context.index()));
		return context.accepted();
	}

	private CommandResult delete(ConfigurationCommand.DeleteQueue command, CommandContext context) {
		this.tables.queues.require(command.queue(), context);
		this.tables.queues.remove(command.queue());
		return context.accepted();
	}

}
