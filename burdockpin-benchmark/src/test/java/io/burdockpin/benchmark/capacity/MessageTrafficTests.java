package io.burdockpin.benchmark.capacity;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against periodic messages that grow beyond the frame for control. */
class MessageTrafficTests {

	/** The frame of the two-year size: 18 KB/s a node. */
	private static final long FRAME_BYTES_PER_SECOND = 18_000;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void theTwoYearSizeFitsTheFrameAtTheLeaderAndAtAnEntryHost(long seed) {
		MessageTraffic traffic = new MessageTraffic(FleetSize.TWO_YEARS, TrafficRates.ORDINARY, seed);
		traffic.run(60_000);
		Truth.assertThat(traffic.leader().meanBytesPerSecond()).isAtMost(FRAME_BYTES_PER_SECOND);
		Truth.assertThat(traffic.entryHost().meanBytesPerSecond()).isAtMost(FRAME_BYTES_PER_SECOND);
	}

}
