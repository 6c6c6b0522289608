package io.burdockpin.batch.call;

import java.util.List;

import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.core.batch.call.CallMessage;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.runtime.link.LinkEvent;
import org.apache.pekko.actor.typed.ActorRef;

/** Messages of the {@link LeaderClient}. */
public sealed interface LeaderClientCommand {

	/**
	 * Sends a call to the leader. Exactly one reply follows, at the latest after the
	 * timeout.
	 *
	 * @param call the call; may be sent more than once
	 * @param timeoutMillis how long the caller still waits; a call without time left is
	 * refused and not sent
	 * @param replyTo receives the reply
	 */
	record Ask(FleetCall call, long timeoutMillis, ReplyPort replyTo) implements LeaderClientCommand {

	}

	/**
	 * Queries readiness: whether there was recent contact with the leader and the process
	 * is not draining.
	 *
	 * @param replyTo receives the answer
	 */
	record IsReady(ActorRef<Boolean> replyTo) implements LeaderClientCommand {

	}

	/**
	 * Adds control members to search for the leader, for example after a change of the
	 * settings.
	 *
	 * @param hosts the hosts of the members
	 */
	record AddMembers(List<String> hosts) implements LeaderClientCommand {

		public AddMembers {
			hosts = List.copyOf(hosts);
		}

	}

	/**
	 * An event of a link to a control member.
	 *
	 * @param host the host of the member
	 * @param generation number of the link; events of closed links are ignored
	 * @param event a message or a change of the connection
	 */
	record FromLink(String host, long generation, LinkEvent<CallMessage> event) implements LeaderClientCommand {

	}

	/**
	 * A reply of the control member in this process.
	 *
	 * @param correlation copied from the call
	 * @param reply the reply, which may be that this member is not the leader
	 */
	record FromLocal(long correlation, FleetReply reply) implements LeaderClientCommand {

	}

	/** Makes the process not ready because it is shutting down; calls are still sent. */
	enum Drain implements LeaderClientCommand {

		/** The only instance. */
		INSTANCE

	}

	/** Sent by the actor to itself. */
	enum Timer implements LeaderClientCommand {

		/** The timeouts of calls and of the leader have to be checked. */
		TICK

	}

}
