package io.burdockpin.core.util;

import java.util.SplittableRandom;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Guards against deadlines that are later by the remote clock than by the local one. */
class RemoteClockTests {

	private static final long SEED = 20_261_204;

	private static final int SAMPLES = 200;

	private static final long START_MILLIS = 1_000_000;

	/** Covers two clocks that are slewed in opposite directions by 500 ppm each. */
	private static final double RATE_DIFFERENCE = 0.001;

	@Test
	void theRemoteClockNeverReadsLessThanTheLowerBoundForAnyDelayFreezeAndRate() {
		SplittableRandom random = new SplittableRandom(SEED);
		for (int run = 0; run < 50; run++) {
			long offsetMillis = random.nextLong(-10_000_000, 10_000_000);
			double rate = 1 + random.nextDouble(-RATE_DIFFERENCE, RATE_DIFFERENCE);
			RemoteClock known = new RemoteClock(remote(START_MILLIS, offsetMillis, rate), START_MILLIS);
			long sentMillis = START_MILLIS;
			for (int sample = 0; sample < SAMPLES; sample++) {
				sentMillis += 1000;
				long delayMillis = (random.nextInt(10) == 0) ? 10_000 : random.nextLong(20);
				long readMillis = sentMillis + delayMillis;
				known = known.improve(new RemoteClock(remote(sentMillis, offsetMillis, rate), readMillis));
				long laterMillis = known.receivedMillis() + random.nextLong(60_000);
				// Times are rounded to milliseconds twice.
				Truth.assertThat(known.lowerBoundMillis(laterMillis))
					.isAtMost(remote(laterMillis, offsetMillis, rate) + 2);
			}
		}
	}

	@Test
	void aMessageThatWasReadLateDoesNotReplaceABetterSample() {
		RemoteClock known = new RemoteClock(50_000, 1_000);
		RemoteClock improved = known.improve(new RemoteClock(51_000, 12_000));
		Truth.assertThat(improved).isEqualTo(known);
		Truth.assertThat(improved.improve(new RemoteClock(62_000, 13_000)).lowerBoundMillis(13_000)).isEqualTo(62_000);
	}

	private static long remote(long localMillis, long offsetMillis, double rate) {
		return START_MILLIS + offsetMillis + (long) ((localMillis - START_MILLIS) * rate);
	}

}
