package io.burdockpin.batch.port;

import java.util.List;

import io.burdockpin.core.batch.lead.HostEntry;
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
	 * @param window when it may be sent; after that another leader may give orders
	 * @param replyTo gets the answer
	 */
	record Send(HostOrder order, SendWindow window, ActorRef<Answered> replyTo) implements Command {

	}

	/**
	 * Reads the list of hosts. One {@link Listed} follows unless the list cannot be read.
	 *
	 * @param replyTo gets the list
	 */
	record ListHosts(ActorRef<Listed> replyTo) implements Command {

	}

	/**
	 * The hosts of the platform.
	 *
	 * @param hosts all hosts
	 */
	record Listed(List<HostEntry> hosts) {

		public Listed {
			hosts = List.copyOf(hosts);
		}

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
