package io.burdockpin.batch.port;

import io.burdockpin.core.batch.lead.HostOrder;
import io.burdockpin.core.batch.lead.HostReply;
import org.apache.pekko.actor.typed.ActorRef;

/** Messages of an actor that carries orders about hosts to the platform. */
public interface HostChannel {

	/** Messages of the actor. */
	interface Command {

	}

	/**
	 * Sends an order. Exactly one {@link Answered} follows.
	 *
	 * @param order the order
	 * @param replyTo gets the answer
	 */
	record Send(HostOrder order, ActorRef<Answered> replyTo) implements Command {

	}

	/**
	 * What became of an order.
	 *
	 * @param order the order
	 * @param reply the reply
	 */
	record Answered(HostOrder order, HostReply reply) {

	}

}
