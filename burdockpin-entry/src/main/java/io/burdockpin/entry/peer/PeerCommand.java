package io.burdockpin.entry.peer;

import java.util.List;

import io.burdockpin.core.membership.PeerEnvelope;
import io.burdockpin.core.membership.PeerMessage;
import io.burdockpin.core.membership.PeerMessage.ForwardRequest;
import io.burdockpin.core.membership.PeerView;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.retry.AttemptResult;
import io.burdockpin.entry.control.ConfigurationEvent;
import io.burdockpin.entry.router.RouterCommand.RouterStatus;
import io.burdockpin.runtime.link.LinkCommand;
import io.burdockpin.runtime.link.LinkEvent;
import io.burdockpin.runtime.link.LinkListener;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;

/** Messages to the peer supervisor and the peer actor. */
public sealed interface PeerCommand {

	/**
	 * Forwards an attempt to another entry host.
	 *
	 * @param host the entry host that runs the attempt
	 * @param request the message to send
	 * @param deadlineMillis deadline of the request by the clock of this host, in
	 * milliseconds since the epoch
	 * @param replyTo receives the result exactly once
	 */
	record Forward(HostName host, ForwardRequest request, long deadlineMillis,
			ActorRef<AttemptResult> replyTo) implements PeerCommand {

	}

	/**
	 * Cancels a forwarded attempt. Its result is then unknown.
	 *
	 * @param attempt number of the attempt
	 */
	record CancelForward(long attempt) implements PeerCommand {

	}

	/**
	 * Replies to a message of another entry host.
	 *
	 * @param session the connection on which the message arrived
	 * @param answer the reply
	 */
	record SendAnswer(ActorRef<LinkCommand<PeerEnvelope>> session, PeerMessage answer) implements PeerCommand {

	}

	/**
	 * Sends a withdrawn key to all entry hosts and repeats it until they confirm.
	 *
	 * @param keyHash hash of the key
	 * @param replyTo receives the data centres that have not confirmed, as soon as all
	 * have confirmed or after one second
	 */
	record WithdrawKey(KeyHash keyHash, ActorRef<List<DataCentre>> replyTo) implements PeerCommand {

	}

	/**
	 * Subscribes to the live peers.
	 *
	 * @param subscriber receives the current view and all later changes
	 */
	record Subscribe(ActorRef<PeerView> subscriber) implements PeerCommand {

	}

	/**
	 * Closes the links on which other entry hosts forward requests after all replies were
	 * sent.
	 *
	 * @param replyTo notified when the other entry hosts have read everything
	 */
	record EndLinks(ActorRef<Done> replyTo) implements PeerCommand {

	}

	/**
	 * Closes the links of the listener after all replies were sent.
	 *
	 * @param listener the listener
	 * @param end the message to send to it
	 */
	record EndListener(ActorRef<LinkListener.Command> listener, LinkListener.Drain end) implements PeerCommand {

	}

	/**
	 * Wraps an event of a link.
	 *
	 * @param event the event
	 */
	record LinkEventReceived(LinkEvent<PeerEnvelope> event) implements PeerCommand {

	}

	/**
	 * Wraps an event of the configuration feed.
	 *
	 * @param event the event
	 */
	record ConfigurationEventReceived(ConfigurationEvent event) implements PeerCommand {

	}

	/**
	 * Wraps the status of the router.
	 *
	 * @param status load and capacity of this entry host
	 */
	record StatusReceived(RouterStatus status) implements PeerCommand {

	}

	/** Timer tick: requests the router status to send it to the peers. */
	enum Tick implements PeerCommand {

		/** The only instance. */
		INSTANCE

	}

}
