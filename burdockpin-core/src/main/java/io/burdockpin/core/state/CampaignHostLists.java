package io.burdockpin.core.state;

import java.util.List;

import io.burdockpin.core.model.HostName;

/**
 * Keeps the host lists of campaigns in step with the hosts. Changes the campaign table.
 */
final class CampaignHostLists {

	private final FleetTables tables;

	CampaignHostLists(FleetTables tables) {
		this.tables = tables;
	}

	void removeHost(HostName host, CommandContext change) {
		this.tables.campaigns.list().forEach((campaign) -> removeHostFrom(campaign, host, change));
	}

	void cancelDrain(HostName host, CommandContext change) {
		this.tables.campaigns.list()
			.stream()
			.filter((campaign) -> isOutFor(campaign, host))
			.forEach((campaign) -> this.tables.campaigns
				.put(campaign.withHosts(withoutHost(campaign.hostsOut(), host), campaign.hostsDone(), change.index())));
	}

	static boolean isOutFor(CampaignRecord campaign, HostName host) {
		return campaign.hostsOut().stream().anyMatch((drain) -> drain.host().equals(host));
	}

	static List<DrainRecord> withoutHost(List<DrainRecord> drains, HostName host) {
		return drains.stream().filter((drain) -> !drain.host().equals(host)).toList();
	}

	private void removeHostFrom(CampaignRecord campaign, HostName host, CommandContext change) {
		if (isOutFor(campaign, host) || campaign.hostsDone().contains(host)) {
			List<HostName> done = campaign.hostsDone().stream().filter((other) -> !other.equals(host)).toList();
			this.tables.campaigns.put(campaign.withHosts(withoutHost(campaign.hostsOut(), host), done, change.index()));
		}
	}

}
