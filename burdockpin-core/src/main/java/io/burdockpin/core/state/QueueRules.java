package io.burdockpin.core.state;

/** Rules for queues. Shares the tables with the other rules of the state machine. */
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

	private CommandResult create(ConfigurationCommand.CreateQueue command, CommandContext change) {
		this.tables.queues.requireAbsent(command.queue(), change);
		this.tables.queues.put(new QueueRecord(command.queue(), command.open(), change.index()));
		return change.accepted();
	}

	private CommandResult update(ConfigurationCommand.UpdateQueue command, CommandContext change) {
		this.tables.queues.require(command.queue(), change);
		this.tables.queues.put(new QueueRecord(command.queue(), command.open(), change.index()));
		return change.accepted();
	}

	private CommandResult delete(ConfigurationCommand.DeleteQueue command, CommandContext change) {
		this.tables.queues.require(command.queue(), change);
		this.tables.queues.remove(command.queue());
		return change.accepted();
	}

}
