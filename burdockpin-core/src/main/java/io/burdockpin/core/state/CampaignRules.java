package io.burdockpin.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;

/**
 * Applies the commands for maintenance campaigns and drains. Shares the tables with the
 * other rules of the state machine.
 */
final class CampaignRules {

	private static final int MAX_REASON_LENGTH = 500;

	private final FleetTables tables;

	private final DrainCheck drainCheck;

	CampaignRules(FleetTables tables, DrainCheck drainCheck) {
		this.tables = tables;
		this.drainCheck = drainCheck;
	}

	void register(CommandHandlers handlers) {
		handlers.register(MaintenanceCommand.StartCampaign.class, this::start);
		handlers.register(MaintenanceCommand.PauseCampaign.class, this::pause);
		handlers.register(MaintenanceCommand.ResumeCampaign.class, this::resume);
		handlers.register(MaintenanceCommand.CancelCampaign.class, this::cancel);
		handlers.register(MaintenanceCommand.StartDrain.class, this::startDrain);
		handlers.register(MaintenanceCommand.CompleteHost.class, this::completeHost);
		handlers.register(MaintenanceCommand.CompleteCampaign.class, this::complete);
	}

	private CommandResult start(MaintenanceCommand.StartCampaign command, CommandContext context) {
		CampaignName name = command.campaign().name();
		boolean ended = this.tables.campaigns.find(name).filter((campaign) -> campaign.state().ended()).isPresent();
		if (!ended) {
			this.tables.campaigns.requireAbsent(name, context);
		}
		command.campaign().pools().forEach(this.tables.pools::require);
		this.tables.campaigns.put(new CampaignRecord(command.campaign(), CampaignState.RUNNING, 0, List.of(), List.of(),
				"", context.index(), context.nowMillis(), OptionalLong.empty()));
		return context.accepted();
	}

	private CommandResult pause(MaintenanceCommand.PauseCampaign command, CommandContext context) {
		CampaignRecord campaign = require(command.campaign(), CampaignState.RUNNING, context);
		String reason = command.reason().substring(0, Math.min(command.reason().length(), MAX_REASON_LENGTH));
		this.tables.campaigns.put(campaign.withState(CampaignState.PAUSED, reason, context.index()));
		return context.accepted();
	}

	private CommandResult resume(MaintenanceCommand.ResumeCampaign command, CommandContext context) {
		CampaignRecord campaign = require(command.campaign(), CampaignState.PAUSED, context);
		this.tables.campaigns.put(campaign.withState(CampaignState.RUNNING, "", context.index()));
		return context.accepted();
	}

	private CommandResult cancel(MaintenanceCommand.CancelCampaign command, CommandContext context) {
		CampaignRecord campaign = this.tables.campaigns.require(command.campaign(), context);
		CommandRejectedException.rejectIf(campaign.state().ended(), ErrorCode.STATE_CONFLICT, "campaign %s is %s",
				campaign.name(), campaign.state());
		List<DrainRecord> stillOut = new ArrayList<>();
		campaign.hostsOut().forEach((drain) -> endDrain(drain, stillOut, context));
		CampaignRecord cancelled = campaign.withEnd(CampaignState.CANCELLED, context.nowMillis(), context.index());
		this.tables.campaigns.put(cancelled.withHosts(stillOut, campaign.hostsDone(), context.index()));
		return context.accepted();
	}

	private CommandResult startDrain(MaintenanceCommand.StartDrain command, CommandContext context) {
		CampaignRecord campaign = require(command.campaign(), CampaignState.RUNNING, context);
		HostRecord host = this.tables.hosts.require(command.host());
		checkDrain(campaign, host, command);
		this.drainCheck.check(host);
		this.tables.hosts.put(host.withState(HostState.DRAINING, context.index()));
		List<DrainRecord> out = new ArrayList<>(campaign.hostsOut());
		out.add(new DrainRecord(host.name(), command.drainDeadlineMillis(), command.bootId()));
		this.tables.campaigns
			.put(new CampaignRecord(campaign.spec(), campaign.state(), command.wave(), out, campaign.hostsDone(),
					campaign.reason(), context.index(), campaign.startedMillis(), campaign.endedMillis()));
		return context.accepted();
	}

	private CommandResult completeHost(MaintenanceCommand.CompleteHost command, CommandContext context) {
		CampaignRecord campaign = this.tables.campaigns.require(command.campaign(), context);
		HostRecord host = this.tables.hosts.require(command.host());
		CommandRejectedException.rejectIf(!CampaignHostLists.isOutFor(campaign, host.name()), ErrorCode.STATE_CONFLICT,
				"host %s is not out for campaign %s", host.name(), campaign.name());
		boolean returned = host.state() == HostState.RETURNING || host.state() == HostState.IN_SERVICE;
		CommandRejectedException.rejectIf(!returned, ErrorCode.STATE_CONFLICT, "host %s is %s", host.name(),
				host.state());
		List<HostName> done = new ArrayList<>(campaign.hostsDone());
		done.add(host.name());
		this.tables.campaigns.put(campaign.withHosts(CampaignHostLists.withoutHost(campaign.hostsOut(), host.name()),
				done, context.index()));
		return context.accepted();
	}

	private CommandResult complete(MaintenanceCommand.CompleteCampaign command, CommandContext context) {
		CampaignRecord campaign = require(command.campaign(), CampaignState.RUNNING, context);
		boolean open = !campaign.hostsOut().isEmpty()
				|| this.tables.hosts.stream().anyMatch((host) -> needsMaintenance(campaign, host));
		CommandRejectedException.rejectIf(open, ErrorCode.STATE_CONFLICT,
				"campaign %s has hosts that have not been maintained", campaign.name());
		this.tables.campaigns.put(campaign.withEnd(CampaignState.COMPLETED, context.nowMillis(), context.index()));
		return context.accepted();
	}

	private CampaignRecord require(CampaignName name, CampaignState state, CommandContext context) {
		CampaignRecord campaign = this.tables.campaigns.require(name, context);
		CommandRejectedException.rejectIf(campaign.state() != state, ErrorCode.STATE_CONFLICT,
				"campaign %s is %s, not %s", name, campaign.state(), state);
		return campaign;
	}

	private void checkDrain(CampaignRecord campaign, HostRecord host, MaintenanceCommand.StartDrain command) {
		CommandRejectedException.rejectIf(!campaign.spec().pools().contains(host.pool()), ErrorCode.STATE_CONFLICT,
				"host %s is in pool %s, which is not part of the campaign", host.name(), host.pool());
		CommandRejectedException.rejectIf(command.wave() < Math.max(1, campaign.wave()), ErrorCode.STATE_CONFLICT,
				"wave %d is over", command.wave());
		CommandRejectedException.rejectIf(campaign.hostsDone().contains(host.name()), ErrorCode.STATE_CONFLICT,
				"host %s has been maintained", host.name());
		CommandRejectedException.rejectIf(!host.state().successors().contains(HostState.DRAINING),
				ErrorCode.STATE_CONFLICT, "host %s is %s", host.name(), host.state());
		int maximumOut = campaign.spec().maximumConcurrentHosts();
		CommandRejectedException.rejectIf(campaign.hostsOut().size() >= maximumOut, ErrorCode.BUDGET_EXCEEDED,
				"campaign %s has %d hosts out already", campaign.name(), maximumOut);
	}

	private void endDrain(DrainRecord drain, List<DrainRecord> stillOut, CommandContext context) {
		HostRecord host = this.tables.hosts.require(drain.host());
		if (host.state() == HostState.DRAINING) {
			this.tables.hosts.put(host.withState(HostState.IN_SERVICE, context.index()));
		}
		else {
			stillOut.add(drain);
		}
	}

	// Hosts that have failed cannot be maintained and do not keep the campaign from
	// completing.
	private static boolean needsMaintenance(CampaignRecord campaign, HostRecord host) {
		return campaign.spec().pools().contains(host.pool()) && host.state() == HostState.IN_SERVICE
				&& !campaign.hostsDone().contains(host.name());
	}

}
