package io.burdockpin.core.routing;

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
 * @param slots how many requests it runs at once
 * @param connections how many connections it accepts
 * @param epoch grows each time the runner attaches to another entry host
 * @param slotsInUse requests it is running
 * @param leaving whether it takes no new work
 */
public record Runner(RunnerName name, QueueName queue, DataCentre dataCentre, String address, int slots,
		int connections, long epoch, int slotsInUse, boolean leaving) {

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

}
