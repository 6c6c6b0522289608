package io.burdockpin.core.admission;

import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.model.HostName;

/** An effect requested by {@link ConfigurationFeed}. */
public sealed interface FeedEffect {

	/**
	 * Sends a message to a member.
	 *
	 * @param member the receiver
	 * @param message the message
	 */
	record Send(HostName member, ClientMessage message) implements FeedEffect {

	}

	/**
	 * Activates a configuration.
	 *
	 * @param configuration the configuration, which may be active already
	 */
	record Activate(ConfigurationView configuration) implements FeedEffect {

	}

	/**
	 * Confirms the configuration: it is as new as that of the leader after a pause of the
	 * process, or no leader could be reached.
	 *
	 * @param pause number of the pause
	 */
	record Confirmed(long pause) implements FeedEffect {

	}

	/** Reports contact with a member that reaches a majority. */
	record MajorityContact() implements FeedEffect {

	}

}
