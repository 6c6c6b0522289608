package io.burdockpin.core.state;

import java.util.List;

import io.burdockpin.core.model.HostName;

/**
 * Keeps the host lists of campaigns in step with the hosts. Changes the campaign table.
 */
final class CampaignHosts {

	private final FleetTables tables;

	CampaignHosts(FleetTables tables) {
		this.tables = tables;
	}

	void forget(HostName host, Change change) {
		this.tables.campaigns.list().forEach((campaign) -> forgetIn(campaign, host, change));
	}

	void abandonDrain(HostName host, Change change) {
		this.tables.campaigns.list()
			.stream()
			.filter((campaign) -> isOutFor(campaign, host))
			.forEach((campaign) -> this.tables.campaigns
				.put(campaign.withHosts(without(campaign.hostsOut(), host), campaign.hostsDone(), change.index())));
	}

	static boolean isOutFor(CampaignRecord campaign, HostName host) {
		return campaign.hostsOut().stream().anyMatch((drain) -> drain.host().equals(host));
	}

	static List<DrainRecord> without(List<DrainRecord> drains, HostName host) {
		return drains.stream().filter((drain) -> !drain.host().equals(host)).toList();
	}

	private void forgetIn(CampaignRecord campaign, HostName host, Change change) {
		if (isOutFor(campaign, host) || campaign.hostsDone().contains(host)) {
			List<HostName> done = campaign.hostsDone().stream().filter((other) -> !other.equals(host)).toList();
			this.tables.campaigns.put(campaign.withHosts(without(campaign.hostsOut(), host), done, change.index()));
		}
	}

}
