package io.burdockpin.runtime.socket;

import java.util.Optional;

/**
 * Measures what one accepted connection holds, in which phase it is and when it last made
 * progress. Used by the thread of a {@link SocketTask}.
 */
final class ReceiveMeter {

	/** Fewer bytes do not count as progress, so that single bytes prove nothing. */
	private static final int NOTICEABLE_BYTES = 4 * 1_024;

	private final ReceiveLimits limits;

	private ReceivePhase phase = ReceivePhase.IDLE;

	private long heldBytes;

	private boolean served;

	private long progressNanos = System.nanoTime();

	private long bytesSinceProgress;

	/** Start of the phase, or of the present period of a body. */
	private long periodStartMillis;

	private long bytesInPeriod;

	ReceiveMeter(ReceiveLimits limits, long clockMillis) {
		this.limits = limits;
		this.periodStartMillis = clockMillis;
	}

	ReceivePhase phase() {
		return this.phase;
	}

	long heldBytes() {
		return this.heldBytes;
	}

	void hold(long bytes) {
		this.heldBytes += bytes;
	}

	/**
	 * Notes that bytes arrived from the peer, or were taken by it.
	 * @param bytes number of bytes
	 * @param nowNanos the time by {@link System#nanoTime}
	 * @param clockMillis the time by {@link SocketTask#clockMillis}
	 */
	void onTransferred(long bytes, long nowNanos, long clockMillis) {
		this.bytesSinceProgress += bytes;
		if (this.bytesSinceProgress >= NOTICEABLE_BYTES) {
			onProgress(nowNanos);
		}
		this.bytesInPeriod += bytes;
		if (this.phase == ReceivePhase.BODY && this.bytesInPeriod >= this.limits.bytesPerPeriod()) {
			startPeriod(clockMillis);
		}
	}

	/**
	 * Enters another phase, which is progress.
	 * @param next the phase
	 * @param nowNanos the time by {@link System#nanoTime}
	 * @param clockMillis the time by {@link SocketTask#clockMillis}
	 */
	void enter(ReceivePhase next, long nowNanos, long clockMillis) {
		this.served |= this.phase == ReceivePhase.HANDLING;
		this.phase = next;
		onProgress(nowNanos);
		startPeriod(clockMillis);
	}

	long millisInPeriod(long clockMillis) {
		return clockMillis - this.periodStartMillis;
	}

	Optional<RejectionCause> overdue(long clockMillis) {
		return this.phase.overdue(millisInPeriod(clockMillis), this.limits);
	}

	ReceiveProgress progress(long nowNanos) {
		return new ReceiveProgress(this.heldBytes, nowNanos - this.progressNanos, this.served);
	}

	private void onProgress(long nowNanos) {
		this.progressNanos = nowNanos;
		this.bytesSinceProgress = 0;
	}

	private void startPeriod(long clockMillis) {
		this.periodStartMillis = clockMillis;
		this.bytesInPeriod = 0;
	}

}
