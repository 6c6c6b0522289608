package io.burdockpin.batch.port;

import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.runtime.http.socket.SendCondition;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;

/**
 * Protocol of an actor that owns a connection to a runner and sends one order at a time.
 */
public interface RunnerChannel {

	/** Messages that the actor accepts. */
	interface Command {

	}

	/**
	 * Sends an order. Exactly one {@link Answered} follows, at the latest after the
	 * response timeouts of the order and of a listing that may precede it.
	 *
	 * @param dispatch the order with the session that it belongs to
	 * @param condition checked immediately before the order is written to the connection
	 * @param replyTo receives the reply
	 */
	record Send(RunnerDispatch dispatch, SendCondition condition, ActorRef<Answered> replyTo) implements Command {

	}

	/** Closes the connection and stops the actor. */
	enum Close implements Command {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * The reply to an order.
	 *
	 * @param dispatch the order as passed with {@link Send}
	 * @param reply the reply of the runner, or what is known if there was none
	 */
	record Answered(RunnerDispatch dispatch, RunnerReply reply) {

	}

	/** Creates channels. */
	@FunctionalInterface
	interface Factory {

		/**
		 * Creates the behavior of a channel. The connection is opened with the first
		 * order.
		 * @param runner the runner to connect to
		 * @return the behavior of the channel
		 */
		Behavior<Command> create(RunnerRecord runner);

	}

}
