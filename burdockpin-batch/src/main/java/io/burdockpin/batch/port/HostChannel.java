package io.burdockpin.batch.port;

import java.util.List;

import io.burdockpin.core.batch.lead.host.HostEntry;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostReply;
import org.apache.pekko.actor.typed.ActorRef;

/** Protocol of an actor that sends orders about hosts to the platform. */
public interface HostChannel {

	/** Messages that the actor accepts. */
	interface Command {

	}

	/**
	 * Sends an order. Exactly one {@link Answered} follows.
	 *
	 * @param order the order with the term of the leader
	 * @param window time window in which the order may be sent; after that, another
	 * leader may send orders
	 * @param replyTo receives the reply
	 */
	record Send(HostOrder order, SendWindow window, ActorRef<Answered> replyTo) implements Command {

		/**
		 * Limit for the answer to an order. After it the connection is reset, so an order
		 * of a process that runs reaches the platform within this time or not at all.
		 */
		public static final int ANSWER_TIMEOUT_MILLIS = 1_000;

	}

	/**
	 * Reads the list of hosts. One {@link Listed} follows, or none if the request fails.
	 *
	 * @param replyTo receives the list
	 */
	record ListHosts(ActorRef<Listed> replyTo) implements Command {

	}

	/**
	 * The hosts of the platform.
	 *
	 * @param hosts all hosts that the platform manages
	 */
	record Listed(List<HostEntry> hosts) {

		public Listed {
			hosts = List.copyOf(hosts);
		}

	}

	/**
	 * The reply to an order.
	 *
	 * @param order the order as passed with {@link Send}
	 * @param reply the reply of the platform, or what is known if there was none
	 */
	record Answered(HostOrder order, HostReply reply) {

	}

}
