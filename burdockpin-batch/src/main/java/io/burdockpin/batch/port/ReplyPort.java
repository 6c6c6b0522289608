package io.burdockpin.batch.port;

import io.burdockpin.core.batch.call.FleetReply;

/**
 * Receives the reply to one call. Implementations must not block: they send the reply to
 * an actor or complete a future.
 */
@FunctionalInterface
public interface ReplyPort {

	/** Discards the reply. */
	ReplyPort NONE = (reply) -> {
	};

	/**
	 * Sends the reply.
	 * @param reply the only reply to the call
	 */
	void send(FleetReply reply);

}
