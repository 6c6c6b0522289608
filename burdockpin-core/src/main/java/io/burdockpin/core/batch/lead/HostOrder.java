package io.burdockpin.core.batch.lead;

/**
 * What the leader asks of the platform about a host. All that runs on it ends at once.
 */
public sealed interface HostOrder {

	/**
	 * Returns the term of the leader.
	 * @return the fencing token
	 */
	long fencingToken();

	/**
	 * Returns the host.
	 * @return the name of the host
	 */
	String host();

	/**
	 * Begins the upkeep of a host.
	 *
	 * @param fencingToken the term of the leader
	 * @param host the host
	 * @param wave the maintenance wave
	 */
	record Upkeep(long fencingToken, String host, long wave) implements HostOrder {

	}

	/**
	 * Moves a host to another pool.
	 *
	 * @param fencingToken the term of the leader
	 * @param host the host
	 * @param pool the pool
	 */
	record Move(long fencingToken, String host, String pool) implements HostOrder {

	}

}
