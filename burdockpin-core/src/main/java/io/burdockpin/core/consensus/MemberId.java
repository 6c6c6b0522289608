package io.burdockpin.core.consensus;

import io.burdockpin.core.model.HostName;

/**
 * One data folder of one control member. A member that loses its disk comes back with
 * another incarnation, so its earlier votes and acknowledgements cannot be taken for its
 * own.
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
