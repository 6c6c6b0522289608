package io.burdockpin.batch.port;

import io.burdockpin.core.batch.call.FleetReply;

/**
 * Takes the reply to one call. Implementations only send it to an actor or complete a
 * future; they must not block.
 */
@FunctionalInterface
public interface ReplyPort {

	/** Drops the reply. */
	ReplyPort NONE = (reply) -> {
	};

	/**
	 * Sends the reply.
	 * @param reply the reply
	 */
	void send(FleetReply reply);

}
