package io.burdockpin.core.batch.model;

import java.util.List;

import io.burdockpin.core.util.Checks;

/**
 * Hosts that an operator wants maintained within a time.
 *
 * @param number the number that the operator gave it
 * @param hosts the hosts
 * @param durationMillis how long the wave may take
 * @param maximumDown how many hosts may be down for it at a time
 * @param startedMillis when the order was accepted, in milliseconds since 1970
 */
public record MaintenanceWave(long number, List<String> hosts, long durationMillis, int maximumDown,
		long startedMillis) {

	public MaintenanceWave {
		hosts = List.copyOf(hosts);
		Checks.range("maximumDown", maximumDown, 1, Integer.MAX_VALUE);
	}

}
