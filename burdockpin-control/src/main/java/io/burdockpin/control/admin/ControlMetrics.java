package io.burdockpin.control.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import io.burdockpin.control.replica.ControlStatus;
import io.burdockpin.core.consensus.ReplicaStatus;
import io.burdockpin.core.consensus.Role;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of the control program, filled from the status at each scrape. Mutable;
 * owned by the HTTP actor.
 */
final class ControlMetrics {

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.builder().build();

	private final Gauge leader = gauge("burdock_control_leader", "1 if this member leads");

	private final Gauge majorityReachable = gauge("burdock_control_majority_reachable",
			"1 if a leader with a majority was heard lately");

	private final Gauge term = gauge("burdock_control_term", "Term of the replicated log");

	private final Gauge commitIndex = gauge("burdock_control_commit_index", "Last committed log index");

	private final Gauge lastIndex = gauge("burdock_control_last_index", "Last log index");

	private final Gauge configurationIndex = gauge("burdock_control_configuration_index",
			"Log index of the newest configuration change");

	private final Gauge subscribers = gauge("burdock_control_feed_subscribers",
			"Entry hosts that subscribe to the configuration feed here");

	private final Gauge members = gauge("burdock_control_members", "Members of the control group");

	String scrape(ControlStatus status) {
		ReplicaStatus replica = status.replica();
		this.leader.set((replica.role() == Role.LEADER) ? 1 : 0);
		this.majorityReachable.set(status.majorityReachable() ? 1 : 0);
		this.term.set(replica.term());
		this.commitIndex.set(replica.commitIndex());
		this.lastIndex.set(replica.lastIndex());
		this.configurationIndex.set(status.configurationIndex());
		this.subscribers.set(status.subscriberCount());
		this.members.set(status.members().size());
		return print();
	}

	private String print() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		try {
			this.writer.write(output, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("writing to memory does not fail", ex);
		}
		return output.toString(StandardCharsets.UTF_8);
	}

	private Gauge gauge(String name, String help) {
		return Gauge.builder().name(name).help(help).register(this.registry);
	}

}
