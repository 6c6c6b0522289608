package io.burdockpin.runtime.http.socket;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.runtime.socket.ReceiveLimits;

/**
 * Limits of the clients of one listener. Immutable.
 *
 * @param messages the limits of one request
 * @param receiving the limits of all connections together and of their time
 */
public record ClientLimits(MessageLimits messages, ReceiveLimits receiving) {

	/** For listeners whose clients need no other limits. */
	public static final ClientLimits DEFAULT = new ClientLimits(MessageLimits.DEFAULT, ReceiveLimits.DEFAULT);

	/** A request also takes memory for its parts while it is received. */
	private static final int PARTS_DIVISOR = 8;

	public ClientLimits {
		long requestBytes = (long) messages.headBytes() + messages.bodyBytes();
		if (receiving.heldBytes() < requestBytes + requestBytes / PARTS_DIVISOR) {
			throw new InvalidValueException("heldBytes is %d and too small for one request of %d bytes"
				.formatted(receiving.heldBytes(), requestBytes));
		}
	}

}
