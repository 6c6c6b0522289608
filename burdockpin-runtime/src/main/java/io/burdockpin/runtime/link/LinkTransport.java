package io.burdockpin.runtime.link;

import java.util.function.Consumer;

import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.util.ByteString;

/** How the bytes of links and of connections to runners travel over TCP. Immutable. */
public interface LinkTransport {

	/** No encryption; a peer is whoever it says it is. */
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
	 * @param onPeer called when the peer is known, before any of its bytes pass, and
	 * possibly again; must only send it to an actor
	 * @return turns bytes of the link into bytes on the connection and back
	 */
	BidiFlow<ByteString, ByteString, ByteString, ByteString, NotUsed> accept(Consumer<LinkPeer> onPeer);

	/**
	 * Wraps an outgoing connection.
	 * @param peerHost the host that the link is for
	 * @param onPeer called when the peer is known, before any of its bytes pass, and
	 * possibly again; must only send it to an actor
	 * @return turns bytes of the link into bytes on the connection and back
	 */
	BidiFlow<ByteString, ByteString, ByteString, ByteString, NotUsed> connect(String peerHost,
			Consumer<LinkPeer> onPeer);

}
