package io.burdockpin.batch.port;

import java.time.Duration;

import io.burdockpin.batch.call.LeaderClientCommand;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;

/** Messages of an actor that owns the listeners for callers, runners and operators. */
public interface FrontEnd {

	/** Messages of the actor. */
	interface Command {

	}

	/**
	 * Reports itself as not ready, serves on until callers are sent elsewhere, then
	 * accepts no more calls, answers those under way and ends the connections.
	 *
	 * @param drainDelay how long new connections are accepted
	 * @param replyTo is told when all have ended
	 */
	record Stop(Duration drainDelay, ActorRef<Done> replyTo) implements Command {

	}

	/** What the actor tells its owner. */
	sealed interface Report {

	}

	/** All listeners accept connections. */
	record Opened() implements Report {

	}

	/**
	 * A listener cannot bind its address.
	 *
	 * @param reason why
	 */
	record Failed(String reason) implements Report {

	}

	/** Creates the front end of a process. */
	@FunctionalInterface
	interface Factory {

		/**
		 * Creates the behavior.
		 * @param leader takes calls
		 * @param owner is told when the listeners are open or cannot be opened
		 * @return the behavior
		 */
		Behavior<Command> create(ActorRef<LeaderClientCommand> leader, ActorRef<Report> owner);

	}

}
