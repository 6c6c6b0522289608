package io.burdockpin.entry.router;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.util.ByteString;

/**
 * Transport for a TLS connection to one runner. The TLS support of the HTTP library would
 * verify the certificate against the address instead of the runner name, and would not
 * report the end of the handshake. Immutable.
 */
final class TlsRunnerTransport extends ClientTransport {

	private final BidiFlow<ByteString, ByteString, ByteString, ByteString, NotUsed> tls;

	TlsRunnerTransport(BidiFlow<ByteString, ByteString, ByteString, ByteString, NotUsed> tls) {
		this.tls = tls;
	}

	@Override
	public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(String host, int port,
			ClientConnectionSettings settings, ActorSystem system) {
		return this.tls.join(ClientTransport.TCP().connectTo(host, port, settings, system), Keep.right());
	}

}
