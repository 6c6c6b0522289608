package io.burdockpin.core.routing;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;

/**
 * Load and capacity of another entry host for one queue.
 *
 * @param host name of the entry host
 * @param dataCentre data centre of the entry host
 * @param statusNumber number of the status that reported the load
 * @param slots slots of the runners attached to the host
 * @param freeSlots free slots among them
 * @param waiting number of requests waiting at the host
 * @param serviceMillis recent service time of a request
 */
public record PeerLoad(HostName host, DataCentre dataCentre, long statusNumber, int slots, int freeSlots, int waiting,
		long serviceMillis) {

	/**
	 * Returns a copy that includes the requests sent to the host since the status.
	 * @param sentCount number of requests sent
	 * @return a copy with fewer free slots and more waiting requests
	 */
	public PeerLoad withRequestsSent(int sentCount) {
		int remainingSlots = Math.max(0, this.freeSlots - sentCount);
		int addedWaiting = Math.max(0, sentCount - this.freeSlots);
		return new PeerLoad(this.host, this.dataCentre, this.statusNumber, this.slots, remainingSlots,
				this.waiting + addedWaiting, this.serviceMillis);
	}

	/**
	 * Estimates how long a new request would wait for a slot at this host.
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} without any slot
	 */
	public long expectedWaitMillis() {
		return expectedWaitMillis(this.slots, this.freeSlots, this.waiting, this.serviceMillis);
	}

	/**
	 * Estimates how long a new request would wait for a slot.
	 * @param slots total number of slots
	 * @param freeSlots number of free slots
	 * @param waiting number of requests already waiting
	 * @param serviceMillis recent service time of a request
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} without any slot
	 */
	public static long expectedWaitMillis(int slots, int freeSlots, int waiting, long serviceMillis) {
		if (slots <= 0) {
			return Long.MAX_VALUE;
		}
		if (freeSlots > 0) {
			return 0;
		}
		return (waiting + 1L) * Math.max(1, serviceMillis) / slots;
	}

}
