package io.burdockpin.core.consensus;

import java.util.Optional;

/**
 * Replication progress of one follower as tracked by the leader. Mutable; owned by one
 * {@link Leadership}.
 */
final class FollowerProgress {

	private long matchIndex;

	private long nextIndex;

	private long ackedRound;

	private long ackedSentMillis;

	private Optional<Long> inFlightSinceMillis = Optional.empty();

	private Optional<Snapshot> pendingSnapshot = Optional.empty();

	private int snapshotOffsetBytes;

	FollowerProgress(long nextIndex, long nowMillis) {
		this.nextIndex = nextIndex;
		this.ackedSentMillis = nowMillis;
	}

	// access

	long matchIndex() {
		return this.matchIndex;
	}

	long nextIndex() {
		return this.nextIndex;
	}

	long ackedRound() {
		return this.ackedRound;
	}

	/**
	 * Returns the send time of the newest acknowledged message.
	 * @return the time by the leader's monotonic clock, in milliseconds
	 */
	long ackedSentMillis() {
		return this.ackedSentMillis;
	}

	boolean isInFlight() {
		return this.inFlightSinceMillis.isPresent();
	}

	Optional<Snapshot> pendingSnapshot() {
		return this.pendingSnapshot;
	}

	int snapshotOffsetBytes() {
		return this.snapshotOffsetBytes;
	}

	// changes

	void acknowledge(long round, long sentMillis) {
		this.ackedRound = Math.max(this.ackedRound, round);
		this.ackedSentMillis = Math.max(this.ackedSentMillis, sentMillis);
		// Messages on a link and their answers keep their order, so what is in flight was
		// lost if a later message is answered before it.
		this.inFlightSinceMillis = this.inFlightSinceMillis.filter((sinceMillis) -> sentMillis <= sinceMillis);
	}

	void markInFlight(long nowMillis) {
		this.inFlightSinceMillis = Optional.of(nowMillis);
	}

	void onMatch(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		if (index >= this.nextIndex) {
			this.nextIndex = index + 1;
			this.inFlightSinceMillis = Optional.empty();
		}
	}

	void onMismatch(long hintIndex) {
		long lower = Math.min(this.nextIndex - 1, hintIndex);
		this.nextIndex = Math.max(this.matchIndex + 1, lower);
		this.inFlightSinceMillis = Optional.empty();
	}

	void startSnapshot(Snapshot snapshot) {
		this.pendingSnapshot = Optional.of(snapshot);
		this.snapshotOffsetBytes = 0;
	}

	void continueSnapshot(int offsetBytes) {
		this.snapshotOffsetBytes = offsetBytes;
		this.inFlightSinceMillis = Optional.empty();
	}

	void finishSnapshot(long index) {
		this.pendingSnapshot = Optional.empty();
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
		this.inFlightSinceMillis = Optional.empty();
	}

}
