package io.burdockpin.runtime.socket;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Counts rejections of one listener by cause, for one line of the log a second at most.
 * Used by the thread of a {@link SocketTask}.
 */
final class RejectionCounters {

	private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Map<RejectionCause, Long> counts = new EnumMap<>(RejectionCause.class);

	private boolean changed;

	private long reportedNanos;

	RejectionCounters(long nowNanos) {
		this.reportedNanos = nowNanos - PERIOD_NANOS;
	}

	void count(RejectionCause cause) {
		this.counts.merge(cause, 1L, Long::sum);
		this.changed = true;
	}

	/**
	 * Returns the numbers since the start of the process if they have changed and were
	 * not returned within the last second.
	 * @param nowNanos the time by {@link System#nanoTime}
	 * @return the numbers by cause; empty if there is nothing to report now
	 */
	Optional<Map<RejectionCause, Long>> takeReport(long nowNanos) {
		if (!this.changed || nowNanos - this.reportedNanos < PERIOD_NANOS) {
			return Optional.empty();
		}
		this.changed = false;
		this.reportedNanos = nowNanos;
		return Optional.of(Map.copyOf(new EnumMap<>(this.counts)));
	}

}
