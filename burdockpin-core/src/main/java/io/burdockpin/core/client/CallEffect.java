package io.burdockpin.core.client;

import io.burdockpin.core.model.HostName;

/** A side effect requested by {@link ControlCalls}. */
public sealed interface CallEffect {

	/**
	 * Sends a message to a member.
	 *
	 * @param member the receiver
	 * @param message the message to send
	 */
	record Send(HostName member, ClientMessage message) implements CallEffect {

	}

	/**
	 * Reports the result of a call to the caller. Issued exactly once for each call.
	 *
	 * @param correlation correlation number of the call
	 * @param result the result of the call
	 */
	record Finish(long correlation, CallResult result) implements CallEffect {

	}

}
