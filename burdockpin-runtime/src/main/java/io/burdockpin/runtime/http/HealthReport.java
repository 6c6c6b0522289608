package io.burdockpin.runtime.http;

import java.util.Map;
import java.util.TreeMap;

/**
 * What {@code /health} and {@code /ready} say. Immutable.
 *
 * @param healthy whether the process works; {@code false} asks for a restart
 * @param ready whether it takes new work; {@code false} takes it out of the balancer
 * @param details what else an operator should know, for example the configuration index
 */
public record HealthReport(boolean healthy, boolean ready, Map<String, String> details) {

	public HealthReport {
		details = new TreeMap<>(details);
	}

}
