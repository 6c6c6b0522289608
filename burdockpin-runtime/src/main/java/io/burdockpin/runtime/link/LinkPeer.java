package io.burdockpin.runtime.link;

import java.util.Optional;
import java.util.Set;

/**
 * What is known about the other end of a connection. Immutable.
 *
 * @param hosts the hosts that its certificate names, or nothing without TLS
 */
public record LinkPeer(Optional<Set<String>> hosts) {

	/** A peer without a certificate on a link without TLS. */
	public static final LinkPeer UNAUTHENTICATED = new LinkPeer(Optional.empty());

	/**
	 * Tells whether the peer may send in the name of a host.
	 * @param host the sender that a message names
	 * @return {@code true} without TLS, or if the certificate names the host
	 */
	public boolean maySendAs(String host) {
		return this.hosts.map((names) -> names.contains(host)).orElse(true);
	}

}
