package io.burdockpin.runtime.http;

import java.util.Map;
import java.util.TreeMap;

/**
 * Report served at {@code /health} and {@code /ready}. Immutable.
 *
 * @param healthy liveness; {@code false} requests a restart of the process
 * @param ready readiness; {@code false} makes the load balancer stop sending requests
 * @param details further values for operators, for example the configuration index
 */
public record HealthReport(boolean healthy, boolean ready, Map<String, String> details) {

	public HealthReport {
		details = new TreeMap<>(details);
	}

}
