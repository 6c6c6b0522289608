package io.burdockpin.batch.port;

import java.time.Duration;

import io.burdockpin.batch.call.LeaderClientCommand;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;

/** Protocol of an actor that owns the listeners for callers, runners and operators. */
public interface FrontEnd {

	/** Messages that the actor accepts. */
	interface Command {

	}

	/**
	 * Shuts down gracefully. Readiness checks fail immediately, while calls are still
	 * served until the load balancer routes callers to other hosts. After that, no more
	 * calls are accepted, pending ones are answered and the connections are closed.
	 *
	 * @param drainDelay how long new connections are still accepted
	 * @param replyTo notified when all connections are closed
	 */
	record Stop(Duration drainDelay, ActorRef<Done> replyTo) implements Command {

	}

	/** Messages from the actor to its owner. */
	sealed interface Report {

	}

	/** All listeners accept connections. */
	record Opened() implements Report {

	}

	/**
	 * A listener failed to bind its address.
	 *
	 * @param reason the error message
	 */
	record Failed(String reason) implements Report {

	}

	/** Creates the front end of a process. */
	@FunctionalInterface
	interface Factory {

		/**
		 * Creates the behavior.
		 * @param leader the client that sends calls to the leader
		 * @param owner notified when the listeners are open or failed to open
		 * @return the behavior of the front end
		 */
		Behavior<Command> create(ActorRef<LeaderClientCommand> leader, ActorRef<Report> owner);

	}

}
