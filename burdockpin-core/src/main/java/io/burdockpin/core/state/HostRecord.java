package io.burdockpin.core.state;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.PoolName;

/**
 * A host in the replicated state. The single pool field makes it impossible that a host
 * belongs to two pools.
 *
 * @param spec its fixed properties
 * @param pool the pool it belongs to
 * @param state its state
 * @param version grows with each change
 */
public record HostRecord(HostSpec spec, PoolName pool, HostState state, long version) {

	/**
	 * Returns the name.
	 * @return the name of the host
	 */
	public HostName name() {
		return this.spec.name();
	}

}
