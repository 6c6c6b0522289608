package io.burdockpin.runtime.link;

import org.apache.pekko.actor.DeadLetterSuppression;

/**
 * Messages to the actor of a link.
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
	 * Closes the link permanently; queued messages may be lost.
	 *
	 * @param <M> type of the messages
	 */
	record Close<M>() implements LinkCommand<M> {

	}

	/**
	 * Closes the link permanently without loss: sends the queued messages, closes the
	 * sending side and waits until the peer closes the connection, which it does after it
	 * has read everything. The owner then receives {@link LinkEvent.Disconnected}, at
	 * once if there is no connection. Messages that still arrive are dropped. There is no
	 * timeout; the owner limits the wait.
	 *
	 * @param <M> type of the messages
	 */
	record Drain<M>() implements LinkCommand<M> {

	}

	/**
	 * A frame was received. Sent by the link to itself.
	 *
	 * @param generation number of the connection
	 * @param message the decoded message
	 * @param <M> type of the messages
	 */
	record FrameArrived<M>(long generation, M message) implements LinkCommand<M> {

	}

	/**
	 * The handshake has identified the peer. Sent by the link to itself.
	 *
	 * @param generation number of the connection
	 * @param peer the peer
	 * @param <M> type of the messages
	 */
	record PeerIdentified<M>(long generation, LinkPeer peer) implements LinkCommand<M> {

	}

	/**
	 * The TCP connection was established. Sent by the link to itself.
	 *
	 * @param generation number of the connection
	 * @param <M> type of the messages
	 */
	record ConnectionOpened<M>(long generation) implements LinkCommand<M> {

	}

	/**
	 * The connection has ended. Sent by the link to itself. Not a dead letter if the link
	 * was closed before, which is the usual order.
	 *
	 * @param generation number of the connection
	 * @param reason the cause, for logs
	 * @param <M> type of the messages
	 */
	record ConnectionClosed<M>(long generation, String reason) implements LinkCommand<M>, DeadLetterSuppression {

	}

	/**
	 * The reconnect delay has passed. Sent by the link to itself.
	 *
	 * @param <M> type of the messages
	 */
	record Reconnect<M>() implements LinkCommand<M> {

	}

}
