package io.burdockpin.core.batch.lead.host;

/**
 * Order for a host, sent to the platform. Carrying it out ends everything that runs on
 * the host.
 */
public sealed interface HostOrder {

	/**
	 * Returns the fencing token, which is the term of the leader.
	 * @return term of the leader
	 */
	long fencingToken();

	/**
	 * Returns the host that the order applies to.
	 * @return name of the host
	 */
	String host();

	/**
	 * Starts the maintenance of a host.
	 *
	 * @param fencingToken term of the leader
	 * @param host name of the host
	 * @param wave number of the maintenance wave
	 */
	record Maintenance(long fencingToken, String host, long wave) implements HostOrder {

	}

	/**
	 * Moves a host to another pool.
	 *
	 * @param fencingToken term of the leader
	 * @param host name of the host
	 * @param pool target pool
	 */
	record Move(long fencingToken, String host, String pool) implements HostOrder {

	}

}
