package io.burdockpin.core.consensus;

/**
 * Notices a disk that hangs: a write that is not synced within a stated time. Mutable;
 * owned by one replica.
 */
final class HangingWriteDetector {

	private final int limitMillis;

	/** The newest write when the watch began; the older ones are synced before it. */
	private long watchedNumber;

	private long sinceMillis;

	HangingWriteDetector(int limitMillis) {
		this.limitMillis = limitMillis;
	}

	/**
	 * Takes note of the writes. Once the watched write is synced, the newest pending one
	 * is watched, so a disk that is slow but makes progress is never noticed.
	 * @param issuedNumber number of the newest write
	 * @param syncedNumber number of the newest synced write
	 * @param nowMillis the time
	 */
	void observe(long issuedNumber, long syncedNumber, long nowMillis) {
		if (syncedNumber >= this.watchedNumber) {
			this.watchedNumber = issuedNumber;
			this.sinceMillis = nowMillis;
		}
	}

	/**
	 * Returns when the pending write will have been pending for too long.
	 * @param issuedNumber number of the newest write
	 * @param syncedNumber number of the newest synced write
	 * @param nowMillis the time
	 * @return the time, or {@link Long#MAX_VALUE} if nothing is pending or the disk hangs
	 * already
	 */
	long nextDueMillis(long issuedNumber, long syncedNumber, long nowMillis) {
		if (syncedNumber >= issuedNumber || isHanging(syncedNumber, nowMillis)) {
			return Long.MAX_VALUE;
		}
		return ((syncedNumber < this.watchedNumber) ? this.sinceMillis : nowMillis) + this.limitMillis;
	}

	/**
	 * Tells whether the disk hangs.
	 * @param syncedNumber number of the newest synced write
	 * @param nowMillis the time
	 * @return whether the watched write has been pending for too long
	 */
	boolean isHanging(long syncedNumber, long nowMillis) {
		return syncedNumber < this.watchedNumber && nowMillis - this.sinceMillis >= this.limitMillis;
	}

}
