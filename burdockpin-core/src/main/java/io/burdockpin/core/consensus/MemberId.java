package io.burdockpin.core.consensus;

import io.burdockpin.core.model.HostName;

/**
 * Identity of a member: its host and its data folder. A member that loses its disk
 * rejoins with a new incarnation, so that votes and acknowledgements given before the
 * loss are not attributed to it.
 *
 * @param host the host of the member
 * @param incarnation identifies the data folder
 */
public record MemberId(HostName host, long incarnation) {

	@Override
	public String toString() {
		return this.host + "/" + this.incarnation;
	}

}
