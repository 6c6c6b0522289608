package io.burdockpin.batch.consensus;

/** Outcome of a read, which tells what the owner of the state machine may do. */
public enum ReadOutcome {

	/** This member is not, or no longer, the leader. */
	REFUSED(false, false),

	/** The state machine is current, but a leadership transfer is in progress. */
	READABLE(true, false),

	/**
	 * The state machine is current, and no other member is elected within the minimum
	 * election timeout from the request of the read.
	 */
	READABLE_AND_SENDABLE(true, true);

	private final boolean permitsReading;

	private final boolean permitsSending;

	ReadOutcome(boolean permitsReading, boolean permitsSending) {
		this.permitsReading = permitsReading;
		this.permitsSending = permitsSending;
	}

	/**
	 * Tells whether the state machine can be read.
	 * @return {@code true} if it is not older than the request of the read
	 */
	public boolean permitsReading() {
		return this.permitsReading;
	}

	/**
	 * Tells whether messages that only a leader may send are permitted.
	 * @return {@code true} if they may be sent for less than the minimum election timeout
	 * from the request of the read
	 */
	public boolean permitsSending() {
		return this.permitsSending;
	}

	static ReadOutcome confirmed(boolean permitsSending) {
		return permitsSending ? READABLE_AND_SENDABLE : READABLE;
	}

}
