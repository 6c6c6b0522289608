package io.burdockpin.core.state;

import java.util.List;

import io.burdockpin.core.model.HostName;

/**
 * Updates the host lists of campaigns when a host is removed or its drain is cancelled.
 * Modifies the campaign table of the state machine.
 */
final class CampaignHostLists {

	private final FleetTables tables;

	CampaignHostLists(FleetTables tables) {
		this.tables = tables;
	}

	void removeHost(HostName host, CommandContext context) {
		this.tables.campaigns.list().forEach((campaign) -> removeHostFrom(campaign, host, context));
	}

	void cancelDrain(HostName host, CommandContext context) {
		this.tables.campaigns.list()
			.stream()
			.filter((campaign) -> isOutFor(campaign, host))
			.forEach((campaign) -> this.tables.campaigns.put(
					campaign.withHosts(withoutHost(campaign.hostsOut(), host), campaign.hostsDone(), context.index())));
	}

	static boolean isOutFor(CampaignRecord campaign, HostName host) {
		return campaign.hostsOut().stream().anyMatch((drain) -> drain.host().equals(host));
	}

	static List<DrainRecord> withoutHost(List<DrainRecord> drains, HostName host) {
		return drains.stream().filter((drain) -> !drain.host().equals(host)).toList();
	}

	private void removeHostFrom(CampaignRecord campaign, HostName host, CommandContext context) {
		if (isOutFor(campaign, host) || campaign.hostsDone().contains(host)) {
			List<HostName> done = campaign.hostsDone().stream().filter((other) -> !other.equals(host)).toList();
			this.tables.campaigns
				.put(campaign.withHosts(withoutHost(campaign.hostsOut(), host), done, context.index()));
		}
	}

}
