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
	 * @param campaign definition of the campaign
	 */
	record StartCampaign(CampaignSpec campaign) implements MaintenanceCommand {

	}

	/**
	 * Pauses a campaign, so that it starts no further drains.
	 *
	 * @param campaign name of the campaign
	 * @param reason the reason, for operators
	 */
	record PauseCampaign(CampaignName campaign, String reason) implements MaintenanceCommand {

	}

	/**
	 * Resumes a paused campaign.
	 *
	 * @param campaign name of the campaign
	 */
	record ResumeCampaign(CampaignName campaign) implements MaintenanceCommand {

	}

	/**
	 * Cancels a campaign. Draining hosts return to service at once; hosts already in
	 * maintenance stay listed until they return.
	 *
	 * @param campaign name of the campaign
	 */
	record CancelCampaign(CampaignName campaign) implements MaintenanceCommand {

	}

	/**
	 * Starts the drain of a host for a campaign. Rejected if it would violate an
	 * availability budget.
	 *
	 * @param campaign name of the campaign
	 * @param host name of the host
	 * @param wave the number of the wave, from 1
	 * @param drainDeadlineMillis time in milliseconds since the epoch at which jobs are
	 * interrupted
	 * @param bootId boot identifier that the host last reported before the drain, or
	 * empty if it never reported
	 */
	record StartDrain(CampaignName campaign, HostName host, int wave, long drainDeadlineMillis,
			Optional<String> bootId) implements MaintenanceCommand {

		/**
		 * Starts the drain of a host whose boot identifier is not known.
		 * @param campaign name of the campaign
		 * @param host name of the host
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
	 * @param campaign name of the campaign
	 * @param host a host that is out of service for the campaign
	 */
	record CompleteHost(CampaignName campaign, HostName host) implements MaintenanceCommand {

	}

	/**
	 * Completes a campaign whose hosts have all been maintained.
	 *
	 * @param campaign name of the campaign
	 */
	record CompleteCampaign(CampaignName campaign) implements MaintenanceCommand {

	}

}
