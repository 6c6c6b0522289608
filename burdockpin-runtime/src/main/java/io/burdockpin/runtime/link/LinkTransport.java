package io.burdockpin.runtime.link;

import java.util.function.Consumer;

import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.util.ByteString;

/**
 * Transport of links and of connections to runners over TCP, with or without TLS.
 * Immutable.
 */
public interface LinkTransport {

	/** Plain TCP without encryption or authentication. */
	LinkTransport PLAIN = new LinkTransport() {

		@Override
		public BidiFlow<ByteString, ByteString, ByteString, ByteString, NotUsed> accept(Consumer<LinkPeer> onPeer) {
			onPeer.accept(LinkPeer.UNAUTHENTICATED);
			return BidiFlow.identity();
		}

		@Override
		public BidiFlow<ByteString, ByteString, ByteString, ByteString, NotUsed> connect(String peerHost,
				Consumer<LinkPeer> onPeer) {
			onPeer.accept(LinkPeer.UNAUTHENTICATED);
			return BidiFlow.identity();
		}

	};

	/**
	 * Wraps an accepted connection.
	 * @param onPeer called when the peer is identified, before any of its bytes are
	 * delivered, and possibly more than once; must only send the peer to an actor
	 * @return converts between bytes of the link and bytes on the connection
	 */
	BidiFlow<ByteString, ByteString, ByteString, ByteString, NotUsed> accept(Consumer<LinkPeer> onPeer);

	/**
	 * Wraps an outgoing connection.
	 * @param peerHost the host that the link is for
	 * @param onPeer called when the peer is identified, before any of its bytes are
	 * delivered, and possibly more than once; must only send the peer to an actor
	 * @return converts between bytes of the link and bytes on the connection
	 */
	BidiFlow<ByteString, ByteString, ByteString, ByteString, NotUsed> connect(String peerHost,
			Consumer<LinkPeer> onPeer);

}
