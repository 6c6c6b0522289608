package io.burdockpin.core.state;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.PoolName;

/**
 * Applies the commands for hosts. A host record has exactly one pool, so no command can
 * put a host into two pools. Shares the tables with the other rules of the state machine.
 */
final class HostRules {

	private final FleetTables tables;

	private final DrainCheck drainCheck;

	private final CampaignHostLists campaignHosts;

	HostRules(FleetTables tables, DrainCheck drainCheck, CampaignHostLists campaignHosts) {
		this.tables = tables;
		this.drainCheck = drainCheck;
		this.campaignHosts = campaignHosts;
	}

	void register(CommandHandlers handlers) {
		handlers.register(ConfigurationCommand.AddHost.class, this::add);
		handlers.register(ConfigurationCommand.MoveHost.class, this::move);
		handlers.register(ConfigurationCommand.LendHost.class, this::lend);
		handlers.register(ConfigurationCommand.ReturnHost.class, this::returnHome);
		handlers.register(ConfigurationCommand.RemoveHost.class, this::remove);
		handlers.register(ConfigurationCommand.SetHostState.class, this::setState);
	}

	private CommandResult add(ConfigurationCommand.AddHost command, CommandContext context) {
		this.tables.hosts.requireAbsent(command.host().name(), context);
		this.tables.pools.require(command.pool());
		HostState state = command.state().orElse(HostState.IN_SERVICE);
		this.tables.hosts.put(new HostRecord(command.host(), command.pool(), state, context.index()));
		return context.accepted();
	}

	private CommandResult move(ConfigurationCommand.MoveHost command, CommandContext context) {
		HostRecord host = this.tables.hosts.require(command.host(), context);
		this.tables.pools.require(command.pool());
		CommandRejectedException.rejectIf(host.pool().equals(command.pool()), ErrorCode.STATE_CONFLICT,
				"host %s is in pool %s already", host.name(), host.pool());
		if (!command.force()) {
			checkDrained(host);
		}
		this.tables.hosts.put(host.withPool(command.pool(), context.index()));
		return context.accepted();
	}

	private CommandResult lend(ConfigurationCommand.LendHost command, CommandContext context) {
		HostRecord host = this.tables.hosts.require(command.host(), context);
		this.tables.pools.require(command.pool());
		CommandRejectedException.rejectIf(host.pool().equals(command.pool()), ErrorCode.STATE_CONFLICT,
				"host %s is in pool %s already", host.name(), host.pool());
		CommandRejectedException.rejectIf(host.homePool().isPresent(), ErrorCode.STATE_CONFLICT, "host %s is lent",
				host.name());
		CommandRejectedException.rejectIf(!this.tables.pools.require(host.pool()).spare(), ErrorCode.STATE_CONFLICT,
				"pool %s is not a spare pool", host.pool());
		checkMayLeave(host);
		this.tables.hosts.put(host.lentTo(command.pool(), context.index()));
		return context.accepted();
	}

	private CommandResult returnHome(ConfigurationCommand.ReturnHost command, CommandContext context) {
		HostRecord host = this.tables.hosts.require(command.host(), context);
		PoolName homePool = host.homePool()
			.orElseThrow(() -> new CommandRejectedException(ErrorCode.STATE_CONFLICT,
					"host %s is not lent".formatted(host.name())));
		checkMayLeave(host);
		this.tables.hosts.put(host.withPool(homePool, context.index()));
		return context.accepted();
	}

	private CommandResult remove(ConfigurationCommand.RemoveHost command, CommandContext context) {
		this.tables.hosts.require(command.host(), context);
		checkIdle(command.host());
		this.tables.hosts.remove(command.host());
		this.campaignHosts.removeHost(command.host(), context);
		return context.accepted();
	}

	private CommandResult setState(ConfigurationCommand.SetHostState command, CommandContext context) {
		HostRecord host = this.tables.hosts.require(command.host(), context);
		if (host.state() == command.state()) {
			return context.unchanged(host.version());
		}
		checkTransition(host, command);
		this.tables.hosts.put(host.withState(command.state(), context.index()));
		if (host.state() == HostState.DRAINING && command.state() == HostState.IN_SERVICE) {
			this.campaignHosts.cancelDrain(host.name(), context);
		}
		return context.accepted();
	}

	private void checkTransition(HostRecord host, ConfigurationCommand.SetHostState command) {
		boolean permitted = host.state().successors().contains(command.state())
				&& command.cause().mayCause(host.state(), command.state());
		CommandRejectedException.rejectIf(!permitted, ErrorCode.STATE_CONFLICT, "host %s cannot go from %s to %s by %s",
				host.name(), host.state(), command.state(), command.cause());
		if (command.state() == HostState.DRAINING) {
			this.drainCheck.check(host);
		}
		if (host.state() == HostState.DRAINING && command.state() == HostState.IN_MAINTENANCE) {
			checkIdle(host.name());
		}
	}

	private void checkMayLeave(HostRecord host) {
		CommandRejectedException.rejectIf(!host.state().acceptsNewJobs(), ErrorCode.STATE_CONFLICT, "host %s is %s",
				host.name(), host.state());
		checkIdle(host.name());
		this.drainCheck.check(host);
	}

	private void checkDrained(HostRecord host) {
		CommandRejectedException.rejectIf(host.state().acceptsNewJobs(), ErrorCode.STATE_CONFLICT,
				"host %s is not drained", host.name());
		checkIdle(host.name());
	}

	private void checkIdle(HostName host) {
		int jobs = this.tables.jobs.activeCountOn(host);
		CommandRejectedException.rejectIf(jobs > 0, ErrorCode.STILL_IN_USE, "host %s still has %d jobs", host, jobs);
	}

}
