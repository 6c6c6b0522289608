package io.burdockpin.entry;

import java.time.InstantSource;

import io.burdockpin.core.membership.PeerInfo;
import io.burdockpin.core.model.Holder;

/**
 * What every part of the entry program knows about its own process.
 *
 * @param holder this life of the entry host
 * @param self name, data centre and HTTP address
 * @param clock the wall clock
 */
public record EntryIdentity(Holder holder, PeerInfo self, InstantSource clock) {

	/**
	 * Returns the current time.
	 * @return milliseconds since the epoch
	 */
	public long nowMillis() {
		return this.clock.millis();
	}

}
