package io.burdockpin.core.model;

import java.util.List;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.util.Checks;

/**
 * A maintenance campaign: every host of the named pools is drained, rebooted and returned
 * once.
 *
 * @param name the campaign
 * @param pools the pools, in the order in which they are worked on
 * @param maximumConcurrentHosts how many hosts may be out for this campaign at once
 * @param drainMillis how long a drain waits before it interrupts jobs
 * @param deadlineMillis wall-clock time in milliseconds since the epoch by which the
 * campaign should end
 * @param maximumUnplannedLosses number of hosts lost on their own during a wave above
 * which the next wave waits for the operator
 */
public record CampaignSpec(CampaignName name, List<PoolName> pools, int maximumConcurrentHosts, long drainMillis,
		long deadlineMillis, int maximumUnplannedLosses) {

	public CampaignSpec {
		pools = List.copyOf(pools);
		if (pools.isEmpty()) {
			throw new InvalidValueException("a campaign names at least one pool");
		}
		Checks.range("maximumConcurrentHosts", maximumConcurrentHosts, 1, 100_000);
		Checks.range("drainMillis", drainMillis, 0, 7L * 24 * 3600 * 1000);
		Checks.range("maximumUnplannedLosses", maximumUnplannedLosses, 0, 100_000);
	}

}
