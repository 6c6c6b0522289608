package io.burdockpin.core.state;

import java.util.Optional;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.PoolName;

/**
 * Applies the commands for pools. Shares the tables with the other rules of the state
 * machine.
 */
final class PoolRules {

	private final FleetTables tables;

	PoolRules(FleetTables tables) {
		this.tables = tables;
	}

	void register(CommandHandlers handlers) {
		handlers.register(ConfigurationCommand.CreatePool.class, this::create);
		handlers.register(ConfigurationCommand.UpdatePool.class, this::update);
		handlers.register(ConfigurationCommand.DeletePool.class, this::delete);
	}

	private CommandResult create(ConfigurationCommand.CreatePool command, CommandContext context) {
		this.tables.pools.requireAbsent(command.pool(), context);
		this.tables.pools.put(new PoolRecord(command.pool(), command.budget(), command.spare(), context.index()));
		return context.accepted();
	}

	private CommandResult update(ConfigurationCommand.UpdatePool command, CommandContext context) {
		this.tables.pools.require(command.pool(), context);
		this.tables.pools.put(new PoolRecord(command.pool(), command.budget(), command.spare(), context.index()));
		return context.accepted();
	}

	private CommandResult delete(ConfigurationCommand.DeletePool command, CommandContext context) {
		PoolName pool = command.pool();
		this.tables.pools.require(pool, context);
		CommandRejectedException.rejectIf(isUsed(pool), ErrorCode.STILL_IN_USE,
				"pool %s has hosts, lent hosts, jobs or a campaign that has not ended", pool);
		this.tables.pools.remove(pool);
		return context.accepted();
	}

	private boolean isUsed(PoolName pool) {
		return this.tables.hosts.stream()
			.anyMatch((host) -> host.pool().equals(pool) || host.homePool().equals(Optional.of(pool)))
				|| this.tables.jobs.notEnded().anyMatch((job) -> job.spec().pool().equals(pool))
				|| this.tables.campaigns.stream()
					.anyMatch((campaign) -> !campaign.state().ended() && campaign.spec().pools().contains(pool));
	}

}
