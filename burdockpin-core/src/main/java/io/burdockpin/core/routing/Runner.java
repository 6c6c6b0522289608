package io.burdockpin.core.routing;

import java.util.OptionalLong;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.util.Checks;

/**
 * The announcement of a runner. Immutable.
 *
 * @param name name of the runner
 * @param queue queue that the runner serves
 * @param dataCentre data centre of the runner
 * @param address address for requests, {@code ip:port}
 * @param tls whether the runner accepts requests over TLS, with a certificate for its
 * name
 * @param slots number of requests that the runner executes concurrently
 * @param connections number of connections that the runner accepts
 * @param epoch number that increases each time the runner attaches to another entry host
 * @param slotsInUse number of requests that the runner is executing
 * @param leaving whether the runner accepts no new work
 * @param clockMillis clock of the runner at the time of the announcement; a runner that
 * announces none cannot detect that a request arrives after its deadline
 */
public record Runner(RunnerName name, QueueName queue, DataCentre dataCentre, String address, boolean tls, int slots,
		int connections, long epoch, int slotsInUse, boolean leaving, OptionalLong clockMillis) {

	private static final int MAX_SLOTS = 10_000;

	public Runner {
		Checks.range("slots", slots, 1, MAX_SLOTS);
		Checks.range("connections", connections, 1, MAX_SLOTS);
		Checks.range("epoch", epoch, 0, Long.MAX_VALUE);
		Checks.range("slotsInUse", slotsInUse, 0, MAX_SLOTS);
	}

	/**
	 * Returns how many attempts may run concurrently. Each attempt uses its own
	 * connection.
	 * @return the smaller of slots and connections
	 */
	public int capacity() {
		return Math.min(this.slots, this.connections);
	}

	/**
	 * Returns how many idle connections an entry host may keep to the runner. Idle
	 * connections never take the connections that running attempts need. Only half of the
	 * remaining connections are used, because the idle connections of the previous entry
	 * host of the runner may not have been closed yet.
	 * @return the number of connections, at most the capacity
	 */
	public int idleCapacity() {
		return Math.min(capacity(), (this.connections - capacity()) / 2);
	}

	/**
	 * Returns the attachment that this announcement belongs to.
	 * @return the identity of the attachment
	 */
	public RunnerAttachment attachment() {
		return new RunnerAttachment(this.name, this.address, this.tls, this.epoch);
	}

}
