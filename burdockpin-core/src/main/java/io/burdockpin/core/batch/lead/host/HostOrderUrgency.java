package io.burdockpin.core.batch.lead.host;

import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.FleetConfiguration;

/** Urgency of a host order, which bounds how long newer orders may overtake it. */
public enum HostOrderUrgency {

	/** Jobs are waiting for the host. */
	GROW(0),

	/** A maintenance wave takes tens of seconds, so a delay of 1 s matters little. */
	MAINTENANCE(1_000),

	/** Returning a host to the spare pool only saves cost; nothing waits for it. */
	RETURN(2_000);

	private final long maximumDelayMillis;

	HostOrderUrgency(long patienceMillis) {
		this.maximumDelayMillis = patienceMillis;
	}

	/**
	 * Returns the time until which more urgent orders may overtake this one.
	 * @param nowMillis time at which the order was queued
	 * @return due time in milliseconds, on the same clock
	 */
	long dueMillis(long nowMillis) {
		return nowMillis + this.maximumDelayMillis;
	}

	public static HostOrderUrgency of(HostOrder order, FleetConfiguration configuration) {
		if (order instanceof HostOrder.Move move) {
			return configuration.pool(move.pool()).filter(BatchPool::spare).isPresent() ? RETURN : GROW;
		}
		return MAINTENANCE;
	}

}
