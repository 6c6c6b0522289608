package io.burdockpin.core.batch.lead.host;

import java.util.Optional;

/**
 * Entry of the platform's host list.
 *
 * @param host name of the host
 * @param pool pool of the host
 * @param up whether the host is neither down, moving nor under maintenance
 * @param dataCentre data centre of the host; empty if the platform does not name it
 */
public record HostEntry(String host, String pool, boolean up, Optional<String> dataCentre) {

	/**
	 * Creates an entry of a host whose data centre is not known.
	 * @param host name of the host
	 * @param pool pool of the host
	 * @param up whether the host is neither down, moving nor under maintenance
	 */
	public HostEntry(String host, String pool, boolean up) {
		this(host, pool, up, Optional.empty());
	}

}
