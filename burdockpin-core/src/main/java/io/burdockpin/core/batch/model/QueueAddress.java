package io.burdockpin.core.batch.model;

import java.util.Locale;

/**
 * Where callers address a queue. It identifies a queue across configurations, since a
 * configuration may give the same queue another name.
 *
 * @param host the virtual host, in lower case
 * @param pathPrefix the prefix of the paths that belong to the queue
 */
public record QueueAddress(String host, String pathPrefix) {

	public QueueAddress {
		host = host.toLowerCase(Locale.ROOT);
	}

	/**
	 * Tells whether a call may be about the queue. Another queue of the host may have a
	 * longer matching prefix.
	 * @param calledHost the virtual host of the call, in any case
	 * @param path the path of the call
	 * @return whether the call is to this host and below the prefix
	 */
	public boolean contains(String calledHost, String path) {
		return this.host.equalsIgnoreCase(calledHost) && path.startsWith(this.pathPrefix);
	}

}
