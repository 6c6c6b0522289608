package io.burdockpin.core.routing;

import java.util.OptionalLong;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.util.Checks;

/**
 * What a runner announces about itself. Immutable.
 *
 * @param name the runner
 * @param queue the queue it serves
 * @param dataCentre where it stands
 * @param address where it takes requests, {@code ip:port}
 * @param tls whether it takes requests over TLS with a certificate that names it
 * @param slots how many requests it runs at once
 * @param connections how many connections it accepts
 * @param epoch grows each time the runner attaches to another entry host
 * @param slotsInUse requests it is running
 * @param leaving whether it takes no new work
 * @param clockMillis its clock when it announced this, in milliseconds; a runner that
 * gives none cannot tell that a request arrives after its deadline
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
	 * Returns how many attempts may run on it at once. Each attempt has a connection of
	 * its own.
	 * @return the smaller of slots and connections
	 */
	public int capacity() {
		return Math.min(this.slots, this.connections);
	}

	/**
	 * Returns how many idle connections an entry host may keep to it. Attempts in flight
	 * never need a place that an idle connection holds. Only half of the other places are
	 * used, because the idle connections of the entry host that the runner was attached
	 * to before may not have closed yet.
	 * @return the count, at most the capacity
	 */
	public int idleCapacity() {
		return Math.min(capacity(), (this.connections - capacity()) / 2);
	}

	/**
	 * Returns the attachment that this announcement belongs to.
	 * @return the attachment
	 */
	public RunnerAttachment attachment() {
		return new RunnerAttachment(this.name, this.address, this.tls, this.epoch);
	}

}
