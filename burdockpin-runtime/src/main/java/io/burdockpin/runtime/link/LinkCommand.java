package io.burdockpin.runtime.link;

/**
 * What a link can be told.
 *
 * @param <M> type of the messages
 */
public sealed interface LinkCommand<M> {

	/**
	 * Sends a message. It is dropped when the link is down or its buffer is full; the
	 * protocols tolerate loss.
	 *
	 * @param message the message
	 * @param <M> type of the messages
	 */
	record Send<M>(M message) implements LinkCommand<M> {

	}

	/**
	 * Closes the link for good; what is queued may be lost.
	 *
	 * @param <M> type of the messages
	 */
	record Close<M>() implements LinkCommand<M> {

	}

	/**
	 * Ends the link for good without loss: sends what is queued, closes the sending side
	 * and stays until the peer has closed the connection, which it does after it has read
	 * everything. The owner then hears {@link LinkEvent.Disconnected}, at once if there
	 * is no connection. Messages that still arrive are dropped. The owner bounds the
	 * time.
	 *
	 * @param <M> type of the messages
	 */
	record Drain<M>() implements LinkCommand<M> {

	}

	/**
	 * A frame has arrived. Sent by the link to itself.
	 *
	 * @param generation number of the connection
	 * @param message the decoded message
	 * @param <M> type of the messages
	 */
	record FrameArrived<M>(long generation, M message) implements LinkCommand<M> {

	}

	/**
	 * The handshake has shown who the peer is. Sent by the link to itself.
	 *
	 * @param generation number of the connection
	 * @param peer the peer
	 * @param <M> type of the messages
	 */
	record PeerIdentified<M>(long generation, LinkPeer peer) implements LinkCommand<M> {

	}

	/**
	 * The connection was established. Sent by the link to itself.
	 *
	 * @param generation number of the connection
	 * @param <M> type of the messages
	 */
	record ConnectionOpened<M>(long generation) implements LinkCommand<M> {

	}

	/**
	 * The connection has ended. Sent by the link to itself.
	 *
	 * @param generation number of the connection
	 * @param reason why
	 * @param <M> type of the messages
	 */
	record ConnectionClosed<M>(long generation, String reason) implements LinkCommand<M> {

	}

	/**
	 * Time to connect again. Sent by the link to itself.
	 *
	 * @param <M> type of the messages
	 */
	record Reconnect<M>() implements LinkCommand<M> {

	}

}
