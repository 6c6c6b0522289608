package io.burdockpin.batch;

import java.util.Optional;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.runtime.http.socket.ClientLimits;
import io.burdockpin.runtime.http.socket.MessageLimits;
import io.burdockpin.runtime.socket.ReceiveLimits;

/**
 * Limits of the clients of a process, by listener. A missing limit has a default that no
 * legal client reaches. Immutable.
 *
 * @param callers limits of callers
 * @param readiness limits of the load balancer and of operators of an entry host
 * @param control limits of runners and operators
 * @throws InvalidValueException if a limit is out of range, or a listener could not hold
 * one request of its largest size
 */
public record ClientLimitSettings(ListenerLimitSettings callers, ListenerLimitSettings readiness,
		ListenerLimitSettings control) {

	/** Limits of processes whose settings name none. */
	public static final ClientLimitSettings DEFAULT = new ClientLimitSettings(ListenerLimitSettings.NONE,
			ListenerLimitSettings.NONE, ListenerLimitSettings.NONE);

	/**
	 * Above the 262,144 bytes of the largest legal body of a caller, and not far above,
	 * since a body takes several times its length while it is decoded.
	 */
	private static final int CALLER_BODY_BYTES = 288 * 1_024;

	/**
	 * An eighth of the heap of an entry host, since bodies grow when they are decoded.
	 */
	private static final int CALLER_HELD_BYTES = 8 * 1_024 * 1_024;

	/** Each caller has one connection, and an entry host has hundreds of callers. */
	private static final int CALLER_CONNECTIONS = 2_000;

	private static final int CONTROL_BODY_BYTES = 8 * 1_024 * 1_024;

	/** Two configurations of the largest size and the announcements beside them. */
	private static final int CONTROL_HELD_BYTES = 24 * 1_024 * 1_024;

	/** Leaves descriptors for the connections to the runners. */
	private static final int CONTROL_CONNECTIONS = 1_500;

	private static final int READINESS_HELD_BYTES = 2 * 1_024 * 1_024;

	private static final int READINESS_CONNECTIONS = 256;

	public ClientLimitSettings {
		callers = (callers != null) ? callers : ListenerLimitSettings.NONE;
		readiness = (readiness != null) ? readiness : ListenerLimitSettings.NONE;
		control = (control != null) ? control : ListenerLimitSettings.NONE;
		callerLimits(callers);
		readinessLimits(readiness);
		controlLimits(control);
	}

	/**
	 * Returns the limits of callers.
	 * @return the limits with defaults filled in
	 */
	public ClientLimits toCallerLimits() {
		return callerLimits(this.callers);
	}

	/**
	 * Returns the limits of the readiness listener.
	 * @return the limits with defaults filled in
	 */
	public ClientLimits toReadinessLimits() {
		return readinessLimits(this.readiness);
	}

	/**
	 * Returns the limits of runners and operators.
	 * @return the limits with defaults filled in
	 */
	public ClientLimits toControlLimits() {
		return controlLimits(this.control);
	}

	private static ClientLimits callerLimits(ListenerLimitSettings settings) {
		return settings.toClientLimits(CALLER_BODY_BYTES, CALLER_HELD_BYTES, CALLER_CONNECTIONS);
	}

	// Questions of operators may contain a job.
	private static ClientLimits readinessLimits(ListenerLimitSettings settings) {
		return settings.toClientLimits(CALLER_BODY_BYTES, READINESS_HELD_BYTES, READINESS_CONNECTIONS);
	}

	private static ClientLimits controlLimits(ListenerLimitSettings settings) {
		return settings.toClientLimits(CONTROL_BODY_BYTES, CONTROL_HELD_BYTES, CONTROL_CONNECTIONS);
	}

	/**
	 * Limits of the clients of one listener; empty ones have their defaults. Immutable.
	 *
	 * @param headBytes length of a header section
	 * @param headFields number of fields of a header section
	 * @param bodyBytes length of a body
	 * @param chunkOverheadBytes length of the framing of a chunked body
	 * @param emptyLineBytes length of the empty lines before a request
	 * @param heldBytes bytes that all connections together hold
	 * @param connections number of connections
	 * @param headMillis time for a header section
	 * @param bodyMillis period in which the minimum rate of a body is checked
	 * @param minimumBytesPerSecond minimum rate of a body
	 * @param idleMillis time for which a connection may stay open without a request
	 */
	public record ListenerLimitSettings(Optional<Integer> headBytes, Optional<Integer> headFields,
			Optional<Integer> bodyBytes, Optional<Integer> chunkOverheadBytes, Optional<Integer> emptyLineBytes,
			Optional<Integer> heldBytes, Optional<Integer> connections, Optional<Integer> headMillis,
			Optional<Integer> bodyMillis, Optional<Integer> minimumBytesPerSecond, Optional<Integer> idleMillis) {

		/** Sets no limit. */
		public static final ListenerLimitSettings NONE = new ListenerLimitSettings(Optional.empty(), Optional.empty(),
				Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(),
				Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());

		ClientLimits toClientLimits(int defaultBodyBytes, int defaultHeldBytes, int defaultConnections) {
			MessageLimits messages = MessageLimits.DEFAULT;
			ReceiveLimits receiving = ReceiveLimits.DEFAULT;
			return new ClientLimits(
					new MessageLimits(this.headBytes.orElse(messages.headBytes()),
							this.headFields.orElse(messages.headFields()), this.bodyBytes.orElse(defaultBodyBytes),
							this.chunkOverheadBytes.orElse(messages.chunkOverheadBytes()),
							this.emptyLineBytes.orElse(messages.emptyLineBytes())),
					new ReceiveLimits(this.heldBytes.orElse(defaultHeldBytes),
							this.connections.orElse(defaultConnections), this.headMillis.orElse(receiving.headMillis()),
							this.bodyMillis.orElse(receiving.bodyMillis()),
							this.minimumBytesPerSecond.orElse(receiving.minimumBytesPerSecond()),
							this.idleMillis.orElse(receiving.idleMillis())));
		}

	}

}
