package io.burdockpin.core.model;

import java.util.List;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.util.Checks;

/**
 * Definition of a maintenance campaign, in which every host of the given pools is
 * drained, rebooted and returned to service once.
 *
 * @param name name of the campaign
 * @param pools at least one pool, in the order of processing
 * @param maximumConcurrentHosts how many hosts may be out of service for this campaign at
 * once
 * @param drainMillis how long a drain waits for running jobs before it interrupts them
 * @param deadlineMillis wall-clock time in milliseconds since the epoch by which the
 * campaign should end
 * @param maximumUnplannedLosses if more hosts than this fail during a wave, the campaign
 * waits for an operator before the next one
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
