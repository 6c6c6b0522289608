package io.burdockpin.core.state;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.TeamName;

/**
 * Applies the commands for teams. A limit may be lowered below the current use; nothing
 * is granted then until the use has fallen below the limit. Shares the tables with the
 * other rules of the state machine.
 */
final class TeamRules {

	private final FleetTables tables;

	TeamRules(FleetTables tables) {
		this.tables = tables;
	}

	void register(CommandHandlers handlers) {
		handlers.register(ConfigurationCommand.CreateTeam.class, this::create);
		handlers.register(ConfigurationCommand.UpdateTeam.class, this::update);
		handlers.register(ConfigurationCommand.DeleteTeam.class, this::delete);
	}

	private CommandResult create(ConfigurationCommand.CreateTeam command, CommandContext context) {
		this.tables.teams.requireAbsent(command.team().name(), context);
		this.tables.teams.put(new TeamRecord(command.team(), context.index()));
		return context.accepted();
	}

	private CommandResult update(ConfigurationCommand.UpdateTeam command, CommandContext context) {
		this.tables.teams.require(command.team().name(), context);
		this.tables.teams.put(new TeamRecord(command.team(), context.index()));
		return context.accepted();
	}

	private CommandResult delete(ConfigurationCommand.DeleteTeam command, CommandContext context) {
		TeamName team = command.team();
		this.tables.teams.require(team, context);
		CommandRejectedException.rejectIf(hasKeys(team), ErrorCode.STILL_IN_USE, "team %s has keys", team);
		CommandRejectedException.rejectIf(this.tables.jobs.anyMatch((job) -> job.spec().team().equals(team)),
				ErrorCode.STILL_IN_USE, "team %s has jobs or results", team);
		CommandRejectedException.rejectIf(this.tables.tokens.totalOf(team) > 0, ErrorCode.STILL_IN_USE,
				"entry hosts have tokens of team %s; set its upper limit to 0 first", team);
		this.tables.teams.remove(team);
		return context.accepted();
	}

	private boolean hasKeys(TeamName team) {
		return this.tables.keys.stream().anyMatch((key) -> key.team().equals(team) && !key.withdrawn());
	}

}
