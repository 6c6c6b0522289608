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
 * The TCP connection of one runner with TLS. The HTTP library's own TLS would check the
 * certificate against the address instead of the name of the runner, and would not tell
 * when the handshake has ended. Immutable.
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
