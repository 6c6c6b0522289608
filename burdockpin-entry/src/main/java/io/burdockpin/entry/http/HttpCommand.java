package io.burdockpin.entry.http;

import java.net.InetSocketAddress;

import io.burdockpin.runtime.http.ConnectionEvent;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.http.javadsl.ServerBinding;

/** What the HTTP listener can be asked. */
public sealed interface HttpCommand {

	/**
	 * Asks for the bound address.
	 *
	 * @param replyTo gets it as soon as it is bound
	 */
	record AwaitBound(ActorRef<InetSocketAddress> replyTo) implements HttpCommand {

	}

	/** Accepts no more connections. */
	enum StopAccepting implements HttpCommand {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * Ends all connections after the responses under way.
	 *
	 * @param replyTo is told when they have ended
	 */
	record Terminate(ActorRef<Done> replyTo) implements HttpCommand {

	}

	/**
	 * A connection was opened or has ended.
	 *
	 * @param event which of the two
	 */
	record ConnectionChanged(ConnectionEvent event) implements HttpCommand {

	}

	/** Connections have not ended in time. */
	enum TerminateTimedOut implements HttpCommand {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * The address is bound.
	 *
	 * @param binding the listening socket
	 */
	record Bound(ServerBinding binding) implements HttpCommand {

	}

	/**
	 * The address cannot be bound.
	 *
	 * @param reason why
	 */
	record BindFailed(String reason) implements HttpCommand {

	}

}
