package io.burdockpin.runtime.link;

import org.apache.pekko.actor.typed.ActorRef;

/**
 * Events of a link, sent to the actor that owns it.
 *
 * @param <M> type of the messages
 */
public sealed interface LinkEvent<M> {

	/**
	 * Returns the name of the link or listener.
	 * @return the name that the owner has given
	 */
	String link();

	/**
	 * The link is up.
	 *
	 * @param link the name of the link
	 * @param session accepts messages to send
	 * @param <M> type of the messages
	 */
	record Connected<M>(String link, ActorRef<LinkCommand<M>> session) implements LinkEvent<M> {

	}

	/**
	 * A message was received.
	 *
	 * @param link the name of the link
	 * @param session accepts replies
	 * @param message the message
	 * @param <M> type of the messages
	 */
	record Received<M>(String link, ActorRef<LinkCommand<M>> session, M message) implements LinkEvent<M> {

	}

	/**
	 * The link is down. Messages sent before may or may not have arrived.
	 *
	 * @param link the name of the link
	 * @param <M> type of the messages
	 */
	record Disconnected<M>(String link) implements LinkEvent<M> {

	}

	/**
	 * The listener cannot bind its address.
	 *
	 * @param link the name of the listener
	 * @param reason the cause, for logs
	 * @param <M> type of the messages
	 */
	record BindFailed<M>(String link, String reason) implements LinkEvent<M> {

	}

	/**
	 * The listener accepts connections.
	 *
	 * @param link the name of the listener
	 * @param <M> type of the messages
	 */
	record Bound<M>(String link) implements LinkEvent<M> {

	}

}
