package io.burdockpin.core.state;

import java.util.List;

import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.HostName;

/**
 * A maintenance campaign in the replicated state.
 *
 * @param spec what to do
 * @param state how far it got
 * @param wave the number of the current wave, 0 before the first
 * @param hostsOut the hosts that the current wave has taken out
 * @param hostsDone the hosts that have been maintained
 * @param reason why it is paused, or an empty string
 * @param version grows with each change
 */
public record CampaignRecord(CampaignSpec spec, CampaignState state, int wave, List<DrainRecord> hostsOut,
		List<HostName> hostsDone, String reason, long version) {

	public CampaignRecord {
		hostsOut = List.copyOf(hostsOut);
		hostsDone = List.copyOf(hostsDone);
	}

}
