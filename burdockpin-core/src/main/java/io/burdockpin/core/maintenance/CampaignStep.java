package io.burdockpin.core.maintenance;

import java.util.Optional;

import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.state.ChangeCause;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.MaintenanceCommand;

/**
 * Next step of a campaign for a host that it has taken out of service, one constant for
 * each {@link HostState}. The names of the constants must match those of the states.
 */
enum CampaignStep {

	IN_SERVICE {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus status) {
			return Optional.of(new MaintenanceCommand.CompleteHost(campaign, host));
		}
	},

	DRAINING {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus status) {
			if (status.cancelled()) {
				return Optional.of(setState(host, HostState.IN_SERVICE));
			}
			return status.empty() ? Optional.of(setState(host, HostState.IN_MAINTENANCE)) : Optional.empty();
		}
	},

	IN_MAINTENANCE {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus status) {
			return status.returned() ? Optional.of(setState(host, HostState.RETURNING)) : Optional.empty();
		}
	},

	/**
	 * The host has returned. The reports of its worker decide when it goes back into
	 * service.
	 */
	RETURNING {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus status) {
			return Optional.of(new MaintenanceCommand.CompleteHost(campaign, host));
		}
	},

	/**
	 * The host was lost during its drain. It goes through maintenance before it returns
	 * to service.
	 */
	LOST {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus status) {
			return status.empty() ? Optional.of(setState(host, HostState.IN_MAINTENANCE)) : Optional.empty();
		}
	},

	/** The host fails its jobs after maintenance. It completes once it is retried. */
	SET_ASIDE {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus status) {
			return Optional.empty();
		}
	},

	/**
	 * Not reachable: a host that has never reported cannot be taken out by a campaign.
	 */
	AWAITED {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus status) {
			return Optional.empty();
		}
	};

	static CampaignStep of(HostState state) {
		return valueOf(state.name());
	}

	/**
	 * Returns the command that takes the host one step further.
	 * @param campaign the campaign that has taken out the host
	 * @param host the host that is out of service
	 * @param status what the planner knows about the host
	 * @return the command, or empty if the host has to wait
	 */
	abstract Optional<Command> next(CampaignName campaign, HostName host, HostStatus status);

	private static Command setState(HostName host, HostState state) {
		return new ConfigurationCommand.SetHostState(host, state, ChangeCause.PLANNER);
	}

	/**
	 * Status of a host that is out for a campaign.
	 *
	 * @param empty whether no job holds capacity on the host
	 * @param returned whether the host has returned from maintenance
	 * @param cancelled whether the campaign has been cancelled
	 */
	record HostStatus(boolean empty, boolean returned, boolean cancelled) {
	}

}
