package io.burdockpin.runtime.link;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLSession;

import io.burdockpin.runtime.tls.CertificateHosts;
import io.burdockpin.runtime.tls.ReloadableTlsIdentity;
import io.burdockpin.runtime.tls.TlsException;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.TLSClosing;
import org.apache.pekko.stream.TLSProtocol;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.TLS;
import org.apache.pekko.util.ByteString;

/**
 * Mutual TLS: both sides present a certificate that the other side trusts. The
 * certificate of the listener must name the host that the link connects to. Host names
 * are checked rather than addresses, because a host may be behind address translation.
 * Immutable.
 */
public final class TlsLinkTransport implements LinkTransport {

	private final ReloadableTlsIdentity current;

	/**
	 * Creates a transport.
	 * @param current certificate, key and trusted authorities of this process
	 */
	public TlsLinkTransport(ReloadableTlsIdentity current) {
		this.current = current;
	}

	@Override
	public BidiFlow<ByteString, ByteString, ByteString, ByteString, NotUsed> accept(Consumer<LinkPeer> onPeer) {
		return secure(this.current::listenerEngine, (session) -> onPeer.accept(peer(CertificateHosts.of(session))));
	}

	@Override
	public BidiFlow<ByteString, ByteString, ByteString, ByteString, NotUsed> connect(String peerHost,
			Consumer<LinkPeer> onPeer) {
		return secure(this.current::connectorEngine, (session) -> {
			Set<String> hosts = CertificateHosts.of(session);
			if (!hosts.contains(peerHost)) {
				throw new TlsException("peer certificate names the hosts %s, not %s".formatted(hosts, peerHost), null);
			}
			onPeer.accept(peer(hosts));
		});
	}

	private static LinkPeer peer(Set<String> hosts) {
		return new LinkPeer(Optional.of(hosts));
	}

	private static BidiFlow<ByteString, ByteString, ByteString, ByteString, NotUsed> secure(Supplier<SSLEngine> engine,
			Consumer<SSLSession> verifier) {
		Flow<ByteString, TLSProtocol.SslTlsOutbound, NotUsed> outgoing = Flow.of(ByteString.class)
			.map(TLSProtocol.SendBytes::new);
		Flow<TLSProtocol.SslTlsInbound, ByteString, NotUsed> incoming = Flow.of(TLSProtocol.SslTlsInbound.class)
			.collectType(TLSProtocol.SessionBytes.class)
			.map(TLSProtocol.SessionBytes::bytes);
		return BidiFlow.fromFlows(outgoing, incoming).atop(TLS.create(engine, verifier, TLSClosing.eagerClose()));
	}

}
