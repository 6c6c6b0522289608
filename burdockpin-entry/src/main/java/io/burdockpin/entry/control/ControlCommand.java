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

/** Messages to the control supervisor. */
public sealed interface ControlCommand {

	/**
	 * Calls the leader of the control group.
	 *
	 * @param message creates the message from the correlation number of the call
	 * @param timeoutMillis timeout of the call
	 * @param replyTo receives the result exactly once
	 */
	record Call(LongFunction<ClientMessage> message, long timeoutMillis,
			ActorRef<CallResult> replyTo) implements ControlCommand {

	}

	/**
	 * Subscribes to the configuration.
	 *
	 * @param subscriber receives the active configuration and all later events
	 */
	record Subscribe(ActorRef<ConfigurationEvent> subscriber) implements ControlCommand {

	}

	/**
	 * Requests a {@link ConfigurationEvent.Confirmed} after a pause of the process.
	 *
	 * @param pause number of the pause, returned in the event
	 */
	record ConfirmConfiguration(long pause) implements ControlCommand {

	}

	/**
	 * Subscribes to the token grants that a leader pushes without a call.
	 *
	 * @param subscriber receives the grants
	 */
	record SubscribeGrants(ActorRef<TokenGrants> subscriber) implements ControlCommand {

	}

	/**
	 * Offers a configuration of another entry host or of the local cache. It is used only
	 * if it is newer.
	 *
	 * @param configuration the offered configuration
	 */
	record OfferConfiguration(ConfigurationView configuration) implements ControlCommand {

	}

	/**
	 * Sends a message that has no reply. The message is dropped if the member is not
	 * connected.
	 *
	 * @param member the control member to send to
	 * @param message the message
	 */
	record SendTo(HostName member, ClientMessage message) implements ControlCommand {

	}

	/**
	 * Wraps an event of a link.
	 *
	 * @param event the event
	 */
	record LinkEventReceived(LinkEvent<ClientEnvelope> event) implements ControlCommand {

	}

	/** Timer tick: ends the calls whose deadline has passed. */
	enum Tick implements ControlCommand {

		/** The only instance. */
		INSTANCE

	}

}
