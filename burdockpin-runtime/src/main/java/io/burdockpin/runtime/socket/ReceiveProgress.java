package io.burdockpin.runtime.socket;

/**
 * What a connection holds and how long it has made no noticeable progress. Immutable.
 *
 * @param heldBytes bytes that the connection holds
 * @param stalledNanos time since the connection last made noticeable progress
 * @param served whether a request of the connection was answered
 */
record ReceiveProgress(long heldBytes, long stalledNanos, boolean served) {

	/** About what a connection without bytes takes: its actor, its socket and buffers. */
	private static final int CONNECTION_BYTES = 2 * 1_024;

	/** A connection that never sent a request costs as much as one idle this long. */
	private static final int UNSERVED_FACTOR = 16;

	/**
	 * Returns the memory that the connection takes, times the time for which it has taken
	 * it without progress.
	 * @return the burden in bytes times nanoseconds
	 */
	double burden() {
		double bytes = (double) CONNECTION_BYTES + this.heldBytes;
		return bytes * Math.max(1, this.stalledNanos) * (this.served ? 1 : UNSERVED_FACTOR);
	}

}
