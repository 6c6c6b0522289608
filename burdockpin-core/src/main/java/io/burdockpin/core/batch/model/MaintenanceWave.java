package io.burdockpin.core.batch.model;

import java.util.List;

import io.burdockpin.core.util.Checks;

/**
 * A set of hosts to be maintained within a time limit, as ordered by an operator.
 *
 * @param number identifies the wave; chosen by the operator
 * @param hosts the names of the hosts to maintain
 * @param durationMillis time limit of the whole wave
 * @param maximumDown number of hosts that may be down for the wave at the same time
 * @param startedMillis when the order was accepted, in milliseconds since 1970
 */
public record MaintenanceWave(long number, List<String> hosts, long durationMillis, int maximumDown,
		long startedMillis) {

	public MaintenanceWave {
		hosts = List.copyOf(hosts);
		Checks.range("maximumDown", maximumDown, 1, Integer.MAX_VALUE);
	}

}
