package io.burdockpin.core.batch.model;

import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.model.Resources;

/**
 * What a runner announces about itself.
 *
 * @param key the life of the runner
 * @param host the host on which it runs, if it says so
 * @param pool the pool it serves
 * @param address where it takes orders, {@code ip:port}
 * @param dataCentre where it stands
 * @param rack the rack of its host
 * @param capacity what may run on it
 * @param labels its labels
 * @param draining whether it is about to leave
 */
public record RunnerRecord(RunnerKey key, Optional<String> host, String pool, String address, String dataCentre,
		Optional<String> rack, Resources capacity, Set<String> labels, boolean draining) {

	public RunnerRecord {
		labels = Set.copyOf(labels);
	}

	/**
	 * Returns the name under which maintenance addresses the host.
	 * @return the host, or the runner where it names none
	 */
	public String hostOrId() {
		return this.host.orElse(this.key.id());
	}

}
