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
	 * Calls the leader. Exactly one reply follows, at the latest when the time is over.
	 *
	 * @param call the call
	 * @param timeoutMillis how long the caller waits
	 * @param replyTo gets the reply
	 */
	record Ask(FleetCall call, long timeoutMillis, ReplyPort replyTo) implements LeaderClientCommand {

	}

	/**
	 * Asks whether a leader was heard lately.
	 *
	 * @param replyTo gets the answer
	 */
	record IsReady(ActorRef<Boolean> replyTo) implements LeaderClientCommand {

	}

	/**
	 * Names hosts of control members, for example after a change of the settings.
	 *
	 * @param hosts the hosts
	 */
	record AddMembers(List<String> hosts) implements LeaderClientCommand {

		public AddMembers {
			hosts = List.copyOf(hosts);
		}

	}

	/**
	 * A link has news. Sent by its link.
	 *
	 * @param host the host at the other end
	 * @param generation number of the link
	 * @param event the news
	 */
	record FromLink(String host, long generation, LinkEvent<CallMessage> event) implements LeaderClientCommand {

	}

	/**
	 * The control member in this process has replied.
	 *
	 * @param correlation from the call
	 * @param reply the reply
	 */
	record FromLocal(long correlation, FleetReply reply) implements LeaderClientCommand {

	}

	/** The process is about to end and is not ready from now on. */
	enum Drain implements LeaderClientCommand {

		/** The only instance. */
		INSTANCE

	}

	/** Sent by the actor to itself. */
	enum Timer implements LeaderClientCommand {

		/** Deadlines and silence have to be checked. */
		TICK

	}

}
