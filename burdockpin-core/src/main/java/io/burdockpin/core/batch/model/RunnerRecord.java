package io.burdockpin.core.batch.model;

import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.model.Resources;

/**
 * Attributes of a runner, as announced by the runner itself.
 *
 * @param key the incarnation of the runner
 * @param host the name of its host; empty if the runner does not announce one
 * @param pool the name of the pool that the runner belongs to
 * @param address where it accepts orders, {@code ip:port}
 * @param dataCentre the data centre of its host
 * @param rack the rack of its host; empty if unknown
 * @param capacity total resources for tasks
 * @param labels matched against the labels that steps require
 * @param draining whether the runner is shutting down and takes no new tasks
 */
public record RunnerRecord(RunnerKey key, Optional<String> host, String pool, String address, String dataCentre,
		Optional<String> rack, Resources capacity, Set<String> labels, boolean draining) {

	public RunnerRecord {
		labels = Set.copyOf(labels);
	}

	/**
	 * Returns the attributes of the runner once it takes no new tasks.
	 * @return the same runner, draining
	 */
	public RunnerRecord withoutNewTasks() {
		return new RunnerRecord(this.key, this.host, this.pool, this.address, this.dataCentre, this.rack, this.capacity,
				this.labels, true);
	}

	/**
	 * Returns the name by which maintenance refers to the host.
	 * @return the host, or the identifier of the runner if it announces no host
	 */
	public String hostOrId() {
		return this.host.orElse(this.key.id());
	}

}
