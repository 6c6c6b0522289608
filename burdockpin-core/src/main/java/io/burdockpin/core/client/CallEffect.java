package io.burdockpin.core.client;

import io.burdockpin.core.model.HostName;

/** What the calls to the control group want done. */
public sealed interface CallEffect {

	/**
	 * Send a message to a member.
	 *
	 * @param member the member
	 * @param message the message
	 */
	record Send(HostName member, ClientMessage message) implements CallEffect {

	}

	/**
	 * Tell the caller how the call ended. Comes exactly once for each call.
	 *
	 * @param correlation number of the call
	 * @param result how it ended
	 */
	record Finish(long correlation, CallResult result) implements CallEffect {

	}

}
