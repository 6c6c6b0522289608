package io.burdockpin.runtime.service;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Guards against leases that end early or late because the wall clock was changed. */
class SteadyClockTests {

	private final AtomicLong monotonicNanos = new AtomicLong(7_000_000_000L);

	private final SteadyClock clock = new SteadyClock(Instant.ofEpochMilli(1_000), this.monotonicNanos::get);

	@Test
	void theClockStartsAtTheWallClock() {
		Truth.assertThat(this.clock.millis()).isEqualTo(1_000);
	}

	@Test
	void theClockFollowsTheMonotonicClockOnly() {
		this.monotonicNanos.addAndGet(2_500_000_000L);
		Truth.assertThat(this.clock.millis()).isEqualTo(3_500);
		Truth.assertThat(this.clock.instant()).isEqualTo(Instant.ofEpochMilli(3_500));
	}

}
