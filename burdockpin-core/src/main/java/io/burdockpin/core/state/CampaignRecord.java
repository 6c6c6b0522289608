package io.burdockpin.core.state;

import java.util.List;
import java.util.OptionalLong;

import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.HostName;

/**
 * A maintenance campaign in the replicated state.
 *
 * @param spec the definition of the campaign
 * @param state the current state
 * @param wave the number of the current wave, 0 before the first
 * @param hostsOut the hosts that are out of service for the current wave
 * @param hostsDone the hosts that have been maintained
 * @param reason why it is paused, or an empty string
 * @param version log index of the last change, compared with the version an operator
 * expects
 * @param startedMillis when it was started, in milliseconds since the epoch
 * @param endedMillis when it was completed or cancelled, in milliseconds since the epoch
 */
public record CampaignRecord(CampaignSpec spec, CampaignState state, int wave, List<DrainRecord> hostsOut,
		List<HostName> hostsDone, String reason, long version, long startedMillis, OptionalLong endedMillis) {

	public CampaignRecord {
		hostsOut = List.copyOf(hostsOut);
		hostsDone = List.copyOf(hostsDone);
	}

	/**
	 * Returns the name of the campaign.
	 * @return the name, unique among campaigns
	 */
	public CampaignName name() {
		return this.spec.name();
	}

	/**
	 * Returns a copy with other host lists.
	 * @param newHostsOut the hosts that are out of service for the current wave
	 * @param newHostsDone the hosts that have been maintained
	 * @param newVersion log index of this change
	 * @return the copy
	 */
	public CampaignRecord withHosts(List<DrainRecord> newHostsOut, List<HostName> newHostsDone, long newVersion) {
		return new CampaignRecord(this.spec, this.state, this.wave, newHostsOut, newHostsDone, this.reason, newVersion,
				this.startedMillis, this.endedMillis);
	}

	/**
	 * Returns a copy in another state.
	 * @param newState the new state, which is not final
	 * @param newReason why it is paused, or an empty string
	 * @param newVersion log index of this change
	 * @return the copy
	 */
	public CampaignRecord withState(CampaignState newState, String newReason, long newVersion) {
		return new CampaignRecord(this.spec, newState, this.wave, this.hostsOut, this.hostsDone, newReason, newVersion,
				this.startedMillis, this.endedMillis);
	}

	/**
	 * Returns a copy that has ended.
	 * @param newState the final state
	 * @param nowMillis when it ended, in milliseconds since the epoch
	 * @param newVersion log index of this change
	 * @return the copy
	 */
	public CampaignRecord withEnd(CampaignState newState, long nowMillis, long newVersion) {
		return new CampaignRecord(this.spec, newState, this.wave, this.hostsOut, this.hostsDone, "", newVersion,
				this.startedMillis, OptionalLong.of(nowMillis));
	}

}
