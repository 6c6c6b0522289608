package io.burdockpin.core.state;

import java.util.Optional;

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
 * @param homePool the spare pool that has lent it, or nothing if it is not lent; records
 * of earlier versions have none
 */
public record HostRecord(HostSpec spec, PoolName pool, HostState state, long version, Optional<PoolName> homePool) {

	/**
	 * Creates a host that is not lent.
	 * @param spec its fixed properties
	 * @param pool the pool it belongs to
	 * @param state its state
	 * @param version grows with each change
	 */
	public HostRecord(HostSpec spec, PoolName pool, HostState state, long version) {
		this(spec, pool, state, version, Optional.empty());
	}

	/**
	 * Returns the name.
	 * @return the name of the host
	 */
	public HostName name() {
		return this.spec.name();
	}

	/**
	 * Returns a copy in another state.
	 * @param newState the state
	 * @param newVersion the new version
	 * @return the copy
	 */
	public HostRecord withState(HostState newState, long newVersion) {
		return new HostRecord(this.spec, this.pool, newState, newVersion, this.homePool);
	}

	/**
	 * Returns a copy in another pool, where it is not lent.
	 * @param newPool the pool
	 * @param newVersion the new version
	 * @return the copy
	 */
	public HostRecord withPool(PoolName newPool, long newVersion) {
		return new HostRecord(this.spec, newPool, this.state, newVersion, Optional.empty());
	}

	/**
	 * Returns a copy that its present pool has lent to another one.
	 * @param newPool the pool that borrows it
	 * @param newVersion the new version
	 * @return the copy
	 */
	public HostRecord lentTo(PoolName newPool, long newVersion) {
		return new HostRecord(this.spec, newPool, this.state, newVersion, Optional.of(this.pool));
	}

}
