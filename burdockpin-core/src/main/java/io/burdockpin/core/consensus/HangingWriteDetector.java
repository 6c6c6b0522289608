package io.burdockpin.core.consensus;

/**
 * Detects a hanging disk: a write that is not synced within a time limit. Mutable; owned
 * by one replica.
 */
final class HangingWriteDetector {

	private final int limitMillis;

	/** Newest write when the timer was started. Writes are synced in order. */
	private long watchedNumber;

	private long watchedSinceMillis;

	HangingWriteDetector(int limitMillis) {
		this.limitMillis = limitMillis;
	}

	/**
	 * Updates the watched write. Once it is synced, the timer restarts with the newest
	 * pending write, so a disk that is slow but makes progress is not reported.
	 * @param issuedNumber number of the newest write
	 * @param syncedNumber number of the newest synced write
	 * @param nowMillis the current monotonic time
	 */
	void observe(long issuedNumber, long syncedNumber, long nowMillis) {
		if (syncedNumber >= this.watchedNumber) {
			this.watchedNumber = issuedNumber;
			this.watchedSinceMillis = nowMillis;
		}
	}

	/**
	 * Returns when the pending write will exceed the time limit.
	 * @param issuedNumber number of the newest write
	 * @param syncedNumber number of the newest synced write
	 * @param nowMillis the current monotonic time
	 * @return the time, or {@link Long#MAX_VALUE} if no write is pending or the limit is
	 * already exceeded
	 */
	long nextDueMillis(long issuedNumber, long syncedNumber, long nowMillis) {
		if (syncedNumber >= issuedNumber || isHanging(syncedNumber, nowMillis)) {
			return Long.MAX_VALUE;
		}
		return ((syncedNumber < this.watchedNumber) ? this.watchedSinceMillis : nowMillis) + this.limitMillis;
	}

	/**
	 * Tells whether the watched write has exceeded the time limit.
	 * @param syncedNumber number of the newest synced write
	 * @param nowMillis the current monotonic time
	 * @return whether the disk seems to hang
	 */
	boolean isHanging(long syncedNumber, long nowMillis) {
		return syncedNumber < this.watchedNumber && nowMillis - this.watchedSinceMillis >= this.limitMillis;
	}

}
