package io.burdockpin.runtime.socket;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Guards against a log that clients outside the limits fill. */
class RejectionCountersTests {

	private final RejectionCounters counters = new RejectionCounters(0);

	@Test
	void rejectionsAreReportedByCauseOnceASecondAtMost() {
		Truth.assertThat(this.counters.takeReport(0)).isEmpty();
		this.counters.count(RejectionCause.HEAD_BYTES);
		Truth.assertThat(this.counters.takeReport(0)).hasValue(Map.of(RejectionCause.HEAD_BYTES, 1L));
		this.counters.count(RejectionCause.HEAD_BYTES);
		this.counters.count(RejectionCause.BYTES_HELD);
		Truth.assertThat(this.counters.takeReport(TimeUnit.MILLISECONDS.toNanos(999))).isEmpty();
		Truth.assertThat(this.counters.takeReport(TimeUnit.SECONDS.toNanos(1)))
			.hasValue(Map.of(RejectionCause.HEAD_BYTES, 2L, RejectionCause.BYTES_HELD, 1L));
		Truth.assertThat(this.counters.takeReport(TimeUnit.SECONDS.toNanos(5))).isEmpty();
	}

}
