package io.burdockpin.runtime.socket;

import org.apache.pekko.util.ByteString;

/** Events of an accepted connection, in the order in which they occur. */
public sealed interface SocketEvent {

	/**
	 * Bytes were received.
	 *
	 * @param bytes at least one byte
	 */
	record Received(ByteString bytes) implements SocketEvent {

	}

	/** The peer closed its sending side and may still read. Sent at most once. */
	enum PeerClosed implements SocketEvent {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * The connection is closed. The last event, sent exactly once.
	 *
	 * @param reason why it was closed, for logs
	 */
	record Closed(String reason) implements SocketEvent {

	}

}
