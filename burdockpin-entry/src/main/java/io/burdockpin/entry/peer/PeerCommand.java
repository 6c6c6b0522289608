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

/** What the links to the other entry hosts can be asked. */
public sealed interface PeerCommand {

	/**
	 * Forwards an attempt.
	 *
	 * @param host the entry host that makes it
	 * @param request the attempt
	 * @param deadlineMillis when the request is given up, by the own clock
	 * @param replyTo gets the result exactly once
	 */
	record Forward(HostName host, ForwardRequest request, long deadlineMillis,
			ActorRef<AttemptResult> replyTo) implements PeerCommand {

	}

	/**
	 * Gives a forwarded attempt up.
	 *
	 * @param attempt its number
	 */
	record CancelForward(long attempt) implements PeerCommand {

	}

	/**
	 * Answers a request of another entry host.
	 *
	 * @param session the connection on which it came
	 * @param answer the answer
	 */
	record SendAnswer(ActorRef<LinkCommand<PeerEnvelope>> session, PeerMessage answer) implements PeerCommand {

	}

	/**
	 * Sends withdrawn keys to all entry hosts, again and again until they confirm.
	 *
	 * @param keyHash hash of the key
	 * @param replyTo is told which data centres have not confirmed, at once when all have
	 * or after a second
	 */
	record WithdrawKey(KeyHash keyHash, ActorRef<List<DataCentre>> replyTo) implements PeerCommand {

	}

	/**
	 * Asks for the live peers and all later changes.
	 *
	 * @param subscriber gets them
	 */
	record Subscribe(ActorRef<PeerView> subscriber) implements PeerCommand {

	}

	/**
	 * Ends the links on which other entry hosts forward requests, after all answers.
	 *
	 * @param replyTo is told when the other entry hosts have read everything
	 */
	record EndLinks(ActorRef<Done> replyTo) implements PeerCommand {

	}

	/**
	 * Ends the links of the listener after all answers.
	 *
	 * @param listener the listener
	 * @param end what it is told
	 */
	record EndListener(ActorRef<LinkListener.Command> listener, LinkListener.Drain end) implements PeerCommand {

	}

	/**
	 * Something happened on a link.
	 *
	 * @param event what happened
	 */
	record LinkEventReceived(LinkEvent<PeerEnvelope> event) implements PeerCommand {

	}

	/**
	 * Something happened in the configuration feed.
	 *
	 * @param event what happened
	 */
	record ConfigurationEventReceived(ConfigurationEvent event) implements PeerCommand {

	}

	/**
	 * The router's answer to the question for its status.
	 *
	 * @param status what it can take
	 */
	record StatusReceived(RouterStatus status) implements PeerCommand {

	}

	/** Time to send the status. */
	enum Tick implements PeerCommand {

		/** The only instance. */
		INSTANCE

	}

}
