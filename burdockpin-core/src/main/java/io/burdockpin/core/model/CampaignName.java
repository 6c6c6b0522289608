package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Name of a maintenance campaign.
 *
 * @param value the name, 1 to 63 characters
 */
public record CampaignName(String value) implements Comparable<CampaignName> {

	public CampaignName {
		Checks.name("campaign", value);
	}

	@Override
	public int compareTo(CampaignName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
