package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * How much of a pool may be out of service at once. Hosts that failed on their own count
 * as out.
 *
 * @param minimumInServicePercent the percentage of the pool's hosts that stay in service
 * @param maximumHostsOut the number of hosts that may be out at once
 * @param maximumRacksOut the number of racks that may have a host out at once
 */
public record AvailabilityBudget(int minimumInServicePercent, int maximumHostsOut, int maximumRacksOut) {

	/** Nine hosts in ten stay in service, in at most two racks. */
	public static final AvailabilityBudget DEFAULT = new AvailabilityBudget(90, 1000, 2);

	public AvailabilityBudget {
		Checks.range("minimumInServicePercent", minimumInServicePercent, 0, 100);
		Checks.range("maximumHostsOut", maximumHostsOut, 0, 100_000);
		Checks.range("maximumRacksOut", maximumRacksOut, 0, 100_000);
	}

}
