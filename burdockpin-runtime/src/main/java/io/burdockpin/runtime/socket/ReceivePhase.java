package io.burdockpin.runtime.socket;

import java.util.Optional;

/** What an accepted connection does, which decides how long it may go on. */
enum ReceivePhase {

	/** No byte of a request has been received. */
	IDLE(true) {

		@Override
		Optional<RejectionCause> overdue(long millis, ReceiveLimits limits) {
			return after(millis, limits.idleMillis(), RejectionCause.IDLE_TIME);
		}

	},

	/** A header section is being received, or a request waits for its actor. */
	HEAD(true) {

		@Override
		Optional<RejectionCause> overdue(long millis, ReceiveLimits limits) {
			return after(millis, limits.headMillis(), RejectionCause.HEAD_TIME);
		}

	},

	/** A body is being received. */
	BODY(true) {

		@Override
		Optional<RejectionCause> overdue(long millis, ReceiveLimits limits) {
			return after(millis, limits.bodyMillis(), RejectionCause.BODY_RATE);
		}

	},

	/** A complete request is being handled. */
	HANDLING(false) {

		@Override
		Optional<RejectionCause> overdue(long millis, ReceiveLimits limits) {
			return after(millis, ReceiveLimits.HANDLING_MILLIS, RejectionCause.HANDLING_TIME);
		}

	},

	/** The connection was dropped; its peer may still read a response. */
	CLOSING(false) {

		@Override
		Optional<RejectionCause> overdue(long millis, ReceiveLimits limits) {
			return Optional.empty();
		}

	};

	private final boolean mayBeDropped;

	ReceivePhase(boolean mayBeDropped) {
		this.mayBeDropped = mayBeDropped;
	}

	/**
	 * Returns whether the connection may be dropped for others. A request that is being
	 * handled is not, since its bytes stay in use.
	 * @return {@code true} if it may be dropped
	 */
	boolean mayBeDropped() {
		return this.mayBeDropped;
	}

	/**
	 * Returns whether a connection has been in this phase for too long.
	 * @param millis time since it entered the phase, or since the last noticeable
	 * progress of a body
	 * @param limits the limits of the listener
	 * @return why it has to be dropped; empty if it may go on
	 */
	abstract Optional<RejectionCause> overdue(long millis, ReceiveLimits limits);

	private static Optional<RejectionCause> after(long millis, long limitMillis, RejectionCause cause) {
		return (millis > limitMillis) ? Optional.of(cause) : Optional.empty();
	}

}
