package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Limits how much of a pool may be out of service at once. Failed hosts count as well as
 * hosts that were stopped on purpose.
 *
 * @param minimumInServicePercent minimum percentage of the hosts of the pool in service,
 * 0 to 100
 * @param maximumHostsOut maximum number of hosts out of service at once
 * @param maximumRacksOut maximum number of racks with a host out of service at once
 */
public record AvailabilityBudget(int minimumInServicePercent, int maximumHostsOut, int maximumRacksOut) {

	/**
	 * At least 90 % of the hosts stay in service, and at most two racks have hosts out of
	 * service.
	 */
	public static final AvailabilityBudget DEFAULT = new AvailabilityBudget(90, 1000, 2);

	public AvailabilityBudget {
		Checks.range("minimumInServicePercent", minimumInServicePercent, 0, 100);
		Checks.range("maximumHostsOut", maximumHostsOut, 0, 100_000);
		Checks.range("maximumRacksOut", maximumRacksOut, 0, 100_000);
	}

}
