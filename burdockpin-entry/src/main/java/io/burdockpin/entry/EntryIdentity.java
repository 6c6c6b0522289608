package io.burdockpin.entry;

import java.time.InstantSource;

import io.burdockpin.core.membership.PeerInfo;
import io.burdockpin.core.model.Holder;

/**
 * Identity and clock of this entry process, shared by all its actors.
 *
 * @param holder host name and incarnation of this process
 * @param self name, data centre and HTTP address of this entry host
 * @param clock the wall clock
 */
public record EntryIdentity(Holder holder, PeerInfo self, InstantSource clock) {

	/**
	 * Returns the current wall-clock time.
	 * @return milliseconds since the epoch
	 */
	public long nowMillis() {
		return this.clock.millis();
	}

}
