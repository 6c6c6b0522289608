package io.burdockpin.runtime.service;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Clock that is initialized from the wall clock and then advances with the monotonic
 * clock. Leases and deadlines use it, because a step of the wall clock would end leases
 * that their holders still rely on. Immutable.
 */
public final class SteadyClock extends Clock {

	private final Instant start;

	private final long startNanos;

	private final LongSupplier monotonicNanos;

	private final ZoneId zone;

	/**
	 * Creates a clock.
	 * @param start the current time of the wall clock
	 * @param monotonicNanos a monotonic clock in nanoseconds
	 */
	public SteadyClock(Instant start, LongSupplier monotonicNanos) {
		this(start, monotonicNanos.getAsLong(), monotonicNanos, ZoneOffset.UTC);
	}

	private SteadyClock(Instant start, long startNanos, LongSupplier monotonicNanos, ZoneId zone) {
		this.start = start;
		this.startNanos = startNanos;
		this.monotonicNanos = monotonicNanos;
		this.zone = zone;
	}

	/**
	 * Creates a clock from the system clocks.
	 * @return the clock
	 */
	public static SteadyClock ofProcess() {
		return new SteadyClock(Instant.now(), System::nanoTime);
	}

	@Override
	public ZoneId getZone() {
		return this.zone;
	}

	@Override
	public Clock withZone(ZoneId newZone) {
		return new SteadyClock(this.start, this.startNanos, this.monotonicNanos, newZone);
	}

	@Override
	public long millis() {
		long elapsedNanos = this.monotonicNanos.getAsLong() - this.startNanos;
		return this.start.toEpochMilli() + TimeUnit.NANOSECONDS.toMillis(elapsedNanos);
	}

	@Override
	public Instant instant() {
		return Instant.ofEpochMilli(millis());
	}

}
