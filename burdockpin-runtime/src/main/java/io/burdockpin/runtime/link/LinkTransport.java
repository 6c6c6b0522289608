package io.burdockpin.runtime.link;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;

/** How the bytes of links travel. Immutable. */
public interface LinkTransport {

	/** TCP without encryption. */
	LinkTransport PLAIN = new LinkTransport() {

		@Override
		public Source<Tcp.IncomingConnection, CompletionStage<Tcp.ServerBinding>> bind(ActorSystem<?> system,
				InetSocketAddress localAddress) {
			return Tcp.get(system).bind(localAddress.getHostString(), localAddress.getPort());
		}

		@Override
		public Flow<ByteString, ByteString, CompletionStage<Tcp.OutgoingConnection>> connect(ActorSystem<?> system,
				InetSocketAddress remoteAddress, Duration connectTimeout) {
			return Tcp.get(system)
				.outgoingConnection(remoteAddress, Optional.empty(), List.of(), false, Optional.of(connectTimeout),
						Optional.empty());
		}

	};

	/**
	 * Listens.
	 * @param system the actor system
	 * @param localAddress the address to bind
	 * @return the accepted connections
	 */
	Source<Tcp.IncomingConnection, CompletionStage<Tcp.ServerBinding>> bind(ActorSystem<?> system,
			InetSocketAddress localAddress);

	/**
	 * Connects.
	 * @param system the actor system
	 * @param remoteAddress where to connect
	 * @param connectTimeout how long the attempt may take
	 * @return the bytes of the connection
	 */
	Flow<ByteString, ByteString, CompletionStage<Tcp.OutgoingConnection>> connect(ActorSystem<?> system,
			InetSocketAddress remoteAddress, Duration connectTimeout);

}
