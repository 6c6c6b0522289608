package io.burdockpin.core.batch.lead;

import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.FleetConfiguration;

/** How long an order about a host may wait behind others. */
enum HostOrderUrgency {

	/** Jobs wait for the host. */
	GROW(0),

	/** A maintenance wave lasts tens of seconds. */
	UPKEEP(1_000),

	/** A host in the spare pool saves its cost, and nobody waits for it. */
	RETURN(2_000);

	private final long maximumDelayMillis;

	HostOrderUrgency(long patienceMillis) {
		this.maximumDelayMillis = patienceMillis;
	}

	/**
	 * Returns when an order is due.
	 * @param nowMillis when it began to wait
	 * @return the time before which more urgent orders go first
	 */
	long dueMillis(long nowMillis) {
		return nowMillis + this.maximumDelayMillis;
	}

	static HostOrderUrgency of(HostOrder order, FleetConfiguration configuration) {
		if (order instanceof HostOrder.Move move) {
			return configuration.pool(move.pool()).filter(BatchPool::spare).isPresent() ? RETURN : GROW;
		}
		return UPKEEP;
	}

}
