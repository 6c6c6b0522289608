package io.burdockpin.batch.port;

import io.burdockpin.core.batch.lead.RunnerOrder;
import io.burdockpin.core.batch.lead.RunnerReply;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;

/**
 * Messages of an actor that owns a connection to a runner and carries one order at a
 * time.
 */
public interface RunnerChannel {

	/** Messages of the actor. */
	interface Command {

	}

	/**
	 * Sends an order. Exactly one {@link Answered} follows, within that time.
	 *
	 * @param order the order
	 * @param answerMillis how long to wait for the answer beyond what the order allows
	 * @param replyTo gets the answer
	 */
	record Send(RunnerOrder order, int answerMillis, ActorRef<Answered> replyTo) implements Command {

	}

	/** Closes the connection and ends the actor. */
	enum Close implements Command {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * What became of an order.
	 *
	 * @param runner the life of the runner
	 * @param order the order
	 * @param reply the reply
	 */
	record Answered(RunnerKey runner, RunnerOrder order, RunnerReply reply) {

	}

	/** Creates channels. */
	@FunctionalInterface
	interface Factory {

		/**
		 * Creates the behavior of a channel. It connects with the first order.
		 * @param runner the runner
		 * @return the behavior
		 */
		Behavior<Command> create(RunnerRecord runner);

	}

}
