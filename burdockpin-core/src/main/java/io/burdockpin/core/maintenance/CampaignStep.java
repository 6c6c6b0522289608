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
 * The next step of a host that a campaign has taken out, for each state of the host. The
 * constants have the names of the states.
 */
enum CampaignStep {

	IN_SERVICE {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus situation) {
			return Optional.of(new MaintenanceCommand.CompleteHost(campaign, host));
		}
	},

	DRAINING {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus situation) {
			if (situation.cancelled()) {
				return Optional.of(setState(host, HostState.IN_SERVICE));
			}
			return situation.empty() ? Optional.of(setState(host, HostState.IN_MAINTENANCE)) : Optional.empty();
		}
	},

	IN_MAINTENANCE {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus situation) {
			return situation.returned() ? Optional.of(setState(host, HostState.RETURNING)) : Optional.empty();
		}
	},

	/** Has come back; its worker's reports decide on the return to service. */
	RETURNING {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus situation) {
			return Optional.of(new MaintenanceCommand.CompleteHost(campaign, host));
		}
	},

	/** Was lost during its drain. It is maintained before it serves again. */
	LOST {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus situation) {
			return situation.empty() ? Optional.of(setState(host, HostState.IN_MAINTENANCE)) : Optional.empty();
		}
	},

	/** Was maintained, but fails its jobs. It completes once it is tried again. */
	SET_ASIDE {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus situation) {
			return Optional.empty();
		}
	},

	/** Cannot be out for a campaign. */
	AWAITED {
		@Override
		Optional<Command> next(CampaignName campaign, HostName host, HostStatus situation) {
			return Optional.empty();
		}
	};

	static CampaignStep of(HostState state) {
		return valueOf(state.name());
	}

	abstract Optional<Command> next(CampaignName campaign, HostName host, HostStatus situation);

	private static Command setState(HostName host, HostState state) {
		return new ConfigurationCommand.SetHostState(host, state, ChangeCause.PLANNER);
	}

	/**
	 * What is known about the host.
	 *
	 * @param empty whether no job holds capacity on it
	 * @param returned whether it has come back from maintenance
	 * @param cancelled whether its campaign has been cancelled
	 */
	record HostStatus(boolean empty, boolean returned, boolean cancelled) {
	}

}
