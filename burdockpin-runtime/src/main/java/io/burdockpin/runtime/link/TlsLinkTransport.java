package io.burdockpin.runtime.link;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLParameters;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.stream.TLSClosing;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;

/**
 * TLS in which both sides present a certificate that the other trusts, and the
 * certificate of the listener names the IP number that was connected to. Immutable.
 */
public final class TlsLinkTransport implements LinkTransport {

	private static final int BACKLOG = 100;

	private final SSLContext context;

	/**
	 * Creates a transport.
	 * @param context keys and trusted certificates of this process
	 */
	public TlsLinkTransport(SSLContext context) {
		this.context = context;
	}

	@Override
	public Source<Tcp.IncomingConnection, CompletionStage<Tcp.ServerBinding>> bind(ActorSystem<?> system,
			InetSocketAddress localAddress) {
		return Tcp.get(system)
			.bindWithTls(localAddress.getHostString(), localAddress.getPort(), this::serverEngine, BACKLOG, List.of(),
					Optional.empty(), (session) -> Optional.empty(), TLSClosing.eagerClose());
	}

	@Override
	public Flow<ByteString, ByteString, CompletionStage<Tcp.OutgoingConnection>> connect(ActorSystem<?> system,
			InetSocketAddress remoteAddress, Duration connectTimeout) {
		return Tcp.get(system)
			.outgoingConnectionWithTls(remoteAddress, () -> clientEngine(remoteAddress), Optional.empty(), List.of(),
					Optional.of(connectTimeout), Optional.empty(), (session) -> Optional.empty(),
					TLSClosing.eagerClose());
	}

	private SSLEngine serverEngine() {
		SSLEngine engine = this.context.createSSLEngine();
		engine.setUseClientMode(false);
		engine.setNeedClientAuth(true);
		return engine;
	}

	private SSLEngine clientEngine(InetSocketAddress remoteAddress) {
		SSLEngine engine = this.context.createSSLEngine(remoteAddress.getHostString(), remoteAddress.getPort());
		engine.setUseClientMode(true);
		SSLParameters parameters = engine.getSSLParameters();
		parameters.setEndpointIdentificationAlgorithm("HTTPS");
		engine.setSSLParameters(parameters);
		return engine;
	}

}
