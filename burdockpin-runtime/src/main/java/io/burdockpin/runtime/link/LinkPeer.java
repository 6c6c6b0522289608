package io.burdockpin.runtime.link;

import java.util.Optional;
import java.util.Set;

/**
 * Identity of the remote end of a connection. Immutable.
 *
 * @param hosts the hosts that its certificate names; empty without TLS
 */
public record LinkPeer(Optional<Set<String>> hosts) {

	/** The peer of a link without TLS, which may send as any host. */
	public static final LinkPeer UNAUTHENTICATED = new LinkPeer(Optional.empty());

	/**
	 * Returns whether the peer may send messages as a host.
	 * @param host the sender host that a message claims
	 * @return {@code true} without TLS, or if the certificate names the host
	 */
	public boolean maySendAs(String host) {
		return this.hosts.map((names) -> names.contains(host)).orElse(true);
	}

}
