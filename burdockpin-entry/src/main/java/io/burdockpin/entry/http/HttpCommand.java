package io.burdockpin.entry.http;

import java.net.InetSocketAddress;

import io.burdockpin.runtime.http.ConnectionEvent;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.http.javadsl.ServerBinding;

/** Messages to the {@link HttpServerActor}. */
public sealed interface HttpCommand {

	/**
	 * Requests the bound address.
	 *
	 * @param replyTo receives the address as soon as it is bound
	 */
	record AwaitBound(ActorRef<InetSocketAddress> replyTo) implements HttpCommand {

	}

	/** Stops accepting connections. */
	enum StopAccepting implements HttpCommand {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * Closes all connections after their current responses.
	 *
	 * @param replyTo notified when all connections are closed or the timeout has passed
	 */
	record Terminate(ActorRef<Done> replyTo) implements HttpCommand {

	}

	/**
	 * A connection was opened or has ended.
	 *
	 * @param event the change of the connection
	 */
	record ConnectionChanged(ConnectionEvent event) implements HttpCommand {

	}

	/** The timeout for closing the connections has passed. */
	enum TerminateTimedOut implements HttpCommand {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * The address was bound.
	 *
	 * @param binding the listening socket
	 */
	record Bound(ServerBinding binding) implements HttpCommand {

	}

	/**
	 * Binding the address failed.
	 *
	 * @param reason the error message
	 */
	record BindFailed(String reason) implements HttpCommand {

	}

}
