package io.burdockpin.runtime.socket;

import org.apache.pekko.actor.DeadLetterSuppression;
import org.apache.pekko.util.ByteString;

/**
 * Events of a connection, in the order in which they occur. Their receiver may already
 * have stopped, which is no dead letter to report.
 */
public sealed interface SocketEvent extends DeadLetterSuppression {

	/** An outgoing connection is open. Sent at most once, before all other events. */
	enum Connected implements SocketEvent {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * An outgoing connection could not be opened. The only event of its connection.
	 *
	 * @param reason why it was not opened, for logs
	 * @param refused whether the peer refused it
	 */
	record ConnectFailed(String reason, boolean refused) implements SocketEvent {

	}

	/** Nothing of a message was written, because its condition did not hold. */
	enum NotWritten implements SocketEvent {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * Bytes were received.
	 *
	 * @param bytes at least one byte
	 * @param receivedNanos when the bytes were read, by {@link System#nanoTime}; earlier
	 * than this event if the connection was not open yet
	 */
	record Received(ByteString bytes, long receivedNanos) implements SocketEvent {

		/** What the event, its place in a mailbox and the objects in it take. */
		private static final int OVERHEAD_BYTES = 160;

		/**
		 * Returns the memory that the event takes until its receiver has copied or
		 * dropped its bytes, as it is charged to the listener.
		 * @return the number of bytes
		 */
		public long heldBytes() {
			return (long) OVERHEAD_BYTES + this.bytes.length();
		}

	}

	/**
	 * An accepted connection was dropped: nothing more is received. Its owner may send a
	 * response and has to close it.
	 *
	 * @param cause why it was dropped
	 */
	record Dropped(RejectionCause cause) implements SocketEvent {

	}

	/** The peer closed its sending side and may still read. Sent at most once. */
	enum PeerClosed implements SocketEvent {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * The connection is closed. The last event, sent exactly once unless the connection
	 * could not be opened.
	 *
	 * @param reason why it was closed, for logs
	 */
	record Closed(String reason) implements SocketEvent {

	}

}
