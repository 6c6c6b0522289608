package io.burdockpin.core.routing;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;

/**
 * What another entry host can do for one queue.
 *
 * @param host the entry host
 * @param dataCentre where it stands
 * @param statusNumber number of the status this comes from
 * @param slots slots of the runners attached to it
 * @param freeSlots the free ones
 * @param waiting requests that wait there
 * @param serviceMillis recent service time
 */
public record PeerLoad(HostName host, DataCentre dataCentre, long statusNumber, int slots, int freeSlots, int waiting,
		long serviceMillis) {

	/**
	 * Returns a copy that accounts for requests sent since the status.
	 * @param sentCount how many were sent
	 * @return the copy
	 */
	public PeerLoad withRequestsSent(int sentCount) {
		int leftSlots = Math.max(0, this.freeSlots - sentCount);
		int moreWaiting = Math.max(0, sentCount - this.freeSlots);
		return new PeerLoad(this.host, this.dataCentre, this.statusNumber, this.slots, leftSlots,
				this.waiting + moreWaiting, this.serviceMillis);
	}

	/**
	 * Estimates how long a new request waits for a slot there.
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} without any slot
	 */
	public long expectedWaitMillis() {
		return expectedWaitMillis(this.slots, this.freeSlots, this.waiting, this.serviceMillis);
	}

	/**
	 * Estimates how long a new request waits for a slot.
	 * @param slots all slots
	 * @param freeSlots the free ones
	 * @param waiting requests that wait already
	 * @param serviceMillis recent service time
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
