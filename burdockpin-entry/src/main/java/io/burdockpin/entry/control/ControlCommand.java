package io.burdockpin.entry.control;

import java.util.function.LongFunction;

import io.burdockpin.core.admission.ConfigurationView;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientEnvelope;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.model.HostName;
import io.burdockpin.runtime.link.LinkEvent;
import org.apache.pekko.actor.typed.ActorRef;

/** What the links to the control group can be asked. */
public sealed interface ControlCommand {

	/**
	 * Calls the leader.
	 *
	 * @param message makes the message from the number of the call
	 * @param timeoutMillis how long to wait for the reply
	 * @param replyTo gets the result exactly once
	 */
	record Call(LongFunction<ClientMessage> message, long timeoutMillis,
			ActorRef<CallResult> replyTo) implements ControlCommand {

	}

	/**
	 * Asks for the configuration in force and all later ones.
	 *
	 * @param subscriber gets them
	 */
	record Subscribe(ActorRef<ConfigurationEvent> subscriber) implements ControlCommand {

	}

	/**
	 * Asks for a {@link ConfigurationEvent.Confirmed} after a pause of the process.
	 *
	 * @param pause number of the pause
	 */
	record ConfirmConfiguration(long pause) implements ControlCommand {

	}

	/**
	 * Asks for the tokens that a leader grants without a call.
	 *
	 * @param subscriber gets them
	 */
	record SubscribeGrants(ActorRef<TokenGrants> subscriber) implements ControlCommand {

	}

	/**
	 * Hands over a configuration that another entry host has.
	 *
	 * @param configuration the configuration
	 */
	record OfferConfiguration(ConfigurationView configuration) implements ControlCommand {

	}

	/**
	 * Sends a message that has no reply.
	 *
	 * @param member the receiver
	 * @param message the message
	 */
	record SendTo(HostName member, ClientMessage message) implements ControlCommand {

	}

	/**
	 * Something happened on a link.
	 *
	 * @param event what happened
	 */
	record LinkEventReceived(LinkEvent<ClientEnvelope> event) implements ControlCommand {

	}

	/** Time to look for calls whose deadline has passed. */
	enum Tick implements ControlCommand {

		/** The only instance. */
		INSTANCE

	}

}
