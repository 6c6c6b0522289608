package io.burdockpin.runtime.socket;

/**
 * Account of the bytes that the connections of one listener hold. Bytes are charged when
 * they arrive and credited when their holder has released them, so bytes that wait in the
 * mailbox of an actor are included. Used by the thread of a {@link SocketTask}.
 */
final class ReceiveBudget {

	/** Beyond the limit by this share, no connection is read that holds bytes. */
	private static final int OVERDRAFT_DIVISOR = 4;

	private final long limitBytes;

	private long heldBytes;

	/** The part of the held bytes whose connections were dropped already. */
	private long droppedBytes;

	ReceiveBudget(long limitBytes) {
		this.limitBytes = limitBytes;
	}

	void charge(long bytes) {
		this.heldBytes += bytes;
	}

	void credit(long bytes) {
		this.heldBytes -= bytes;
	}

	/**
	 * Notes that held bytes will be credited, because their connection was dropped.
	 * @param bytes number of bytes
	 */
	void drop(long bytes) {
		this.droppedBytes += bytes;
	}

	/**
	 * Credits bytes of a connection that was dropped.
	 * @param bytes number of bytes
	 */
	void creditDropped(long bytes) {
		this.heldBytes -= bytes;
		this.droppedBytes -= bytes;
	}

	long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Returns whether a connection has to be dropped.
	 * @return {@code true} while more bytes are held than the limit, without those of
	 * dropped connections
	 */
	boolean isExceeded() {
		return this.heldBytes - this.droppedBytes > this.limitBytes;
	}

	/**
	 * Returns whether reading has to stop, because dropped connections have not released
	 * their bytes yet.
	 * @return {@code true} while the limit and the overdraft are used up
	 */
	boolean isExhausted() {
		return this.heldBytes > this.limitBytes + this.limitBytes / OVERDRAFT_DIVISOR;
	}

}
