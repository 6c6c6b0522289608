package io.burdockpin.core.state;

import java.util.Optional;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.PoolName;

/**
 * A host in the replicated state. A host has exactly one pool, so it cannot belong to two
 * pools.
 *
 * @param spec its fixed properties
 * @param pool the pool it belongs to
 * @param state its current state
 * @param version log index of the last change, compared with the version an operator
 * expects
 * @param homePool the spare pool that has lent the host; empty if it is not lent and in
 * records of earlier versions
 */
public record HostRecord(HostSpec spec, PoolName pool, HostState state, long version, Optional<PoolName> homePool) {

	/**
	 * Creates a host that is not lent.
	 * @param spec its fixed properties
	 * @param pool the pool it belongs to
	 * @param state its current state
	 * @param version log index of the last change, compared with the version an operator
	 * expects
	 */
	public HostRecord(HostSpec spec, PoolName pool, HostState state, long version) {
		this(spec, pool, state, version, Optional.empty());
	}

	/**
	 * Returns the name of the host.
	 * @return the name, unique in the fleet
	 */
	public HostName name() {
		return this.spec.name();
	}

	/**
	 * Returns a copy in another state.
	 * @param newState the new state
	 * @param newVersion log index of this change
	 * @return the copy
	 */
	public HostRecord withState(HostState newState, long newVersion) {
		return new HostRecord(this.spec, this.pool, newState, newVersion, this.homePool);
	}

	/**
	 * Returns a copy that belongs to another pool and is not lent.
	 * @param newPool the new pool
	 * @param newVersion log index of this change
	 * @return the copy
	 */
	public HostRecord withPool(PoolName newPool, long newVersion) {
		return new HostRecord(this.spec, newPool, this.state, newVersion, Optional.empty());
	}

	/**
	 * Returns a copy that is lent by its current pool to another one.
	 * @param newPool the pool that borrows it
	 * @param newVersion log index of this change
	 * @return the copy
	 */
	public HostRecord lentTo(PoolName newPool, long newVersion) {
		return new HostRecord(this.spec, newPool, this.state, newVersion, Optional.of(this.pool));
	}

}
