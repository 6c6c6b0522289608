package io.burdockpin.core.state;

import java.util.Optional;

import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.HostName;

/** A change of maintenance campaigns and drains. */
public sealed interface MaintenanceCommand extends Command {

	/**
	 * Starts a campaign.
	 *
	 * @param campaign what to do
	 */
	record StartCampaign(CampaignSpec campaign) implements MaintenanceCommand {

	}

	/**
	 * Stops a campaign from starting further drains.
	 *
	 * @param campaign the campaign
	 * @param reason why, for the operator
	 */
	record PauseCampaign(CampaignName campaign, String reason) implements MaintenanceCommand {

	}

	/**
	 * Lets a paused campaign go on.
	 *
	 * @param campaign the campaign
	 */
	record ResumeCampaign(CampaignName campaign) implements MaintenanceCommand {

	}

	/**
	 * Ends a campaign. Hosts that are out return to service.
	 *
	 * @param campaign the campaign
	 */
	record CancelCampaign(CampaignName campaign) implements MaintenanceCommand {

	}

	/**
	 * Starts the drain of a host for a campaign. Rejected when it would break a budget.
	 *
	 * @param campaign the campaign
	 * @param host the host
	 * @param wave the number of the wave, from 1
	 * @param drainDeadlineMillis time in milliseconds since the epoch at which jobs are
	 * interrupted
	 * @param bootId the boot that the host reported from before the drain, if it reported
	 */
	record StartDrain(CampaignName campaign, HostName host, int wave, long drainDeadlineMillis,
			Optional<String> bootId) implements MaintenanceCommand {

		/**
		 * Starts a drain of a host whose boot is not known.
		 * @param campaign the campaign
		 * @param host the host
		 * @param wave the number of the wave, from 1
		 * @param drainDeadlineMillis time in milliseconds since the epoch at which jobs
		 * are interrupted
		 */
		public StartDrain(CampaignName campaign, HostName host, int wave, long drainDeadlineMillis) {
			this(campaign, host, wave, drainDeadlineMillis, Optional.empty());
		}

	}

	/**
	 * Records that a host has been maintained for a campaign.
	 *
	 * @param campaign the campaign
	 * @param host the host
	 */
	record CompleteHost(CampaignName campaign, HostName host) implements MaintenanceCommand {

	}

	/**
	 * Ends a campaign whose hosts have all been maintained.
	 *
	 * @param campaign the campaign
	 */
	record CompleteCampaign(CampaignName campaign) implements MaintenanceCommand {

	}

}
