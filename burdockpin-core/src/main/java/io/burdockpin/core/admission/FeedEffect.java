package io.burdockpin.core.admission;

import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.model.HostName;

/** What the configuration feed wants done. */
public sealed interface FeedEffect {

	/**
	 * Send a message to a member.
	 *
	 * @param member the member
	 * @param message the message
	 */
	record Send(HostName member, ClientMessage message) implements FeedEffect {

	}

	/**
	 * Put a configuration in force.
	 *
	 * @param configuration the configuration
	 */
	record Activate(ConfigurationView configuration) implements FeedEffect {

	}

	/**
	 * The newest configuration is as new as the leader's was after a pause of the
	 * process, or no leader could be asked.
	 *
	 * @param pause number of the pause
	 */
	record Confirmed(long pause) implements FeedEffect {

	}

	/** A member with a majority has been heard. */
	record MajorityContact() implements FeedEffect {

	}

}
