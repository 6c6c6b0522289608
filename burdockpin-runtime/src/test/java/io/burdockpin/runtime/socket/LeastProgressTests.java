package io.burdockpin.runtime.socket;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/**
 * The choice of the connection that is dropped when clients outside the limits fill a
 * listener. Guards against clients that are dropped although they make progress.
 */
class LeastProgressTests {

	private static final int SEEDS = 500;

	@Test
	void withoutConnectionsNoneIsChosen() {
		Truth.assertThat(LeastProgress.<ReceiveProgress>choose(Stream.empty(), (progress) -> progress)).isEmpty();
	}

	@Test
	void aLargeBodyThatStoppedShortOfItsEndIsDroppedBeforeASlowerSmallRequest() {
		ReceiveProgress stopped = progress(262_143, 800, true);
		ReceiveProgress slow = progress(600, 3_000, true);
		Truth.assertThat(choose(List.of(slow, stopped))).hasValue(stopped);
	}

	@Test
	void ofTwoEqualBodiesTheOneThatStoppedEarlierIsDropped() {
		ReceiveProgress earlier = progress(100_000, 2_000, true);
		ReceiveProgress later = progress(100_000, 20, true);
		Truth.assertThat(choose(List.of(later, earlier))).hasValue(earlier);
	}

	@Test
	void aConnectionThatNeverSentARequestIsDroppedBeforeTheIdleOneOfACaller() {
		ReceiveProgress unused = progress(0, 1_000, false);
		ReceiveProgress idleCaller = progress(0, 10_000, true);
		Truth.assertThat(choose(List.of(idleCaller, unused))).hasValue(unused);
	}

	/**
	 * Guards against a caller that starves while many clients stop just short of the end
	 * of their bodies, in random numbers and sizes.
	 */
	@Test
	void aConnectionThatMakesProgressStaysWhileOthersOfItsSizeHaveStopped() {
		for (int seed = 0; seed < SEEDS; seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			ReceiveProgress caller = progress(random.nextInt(1, 262_144), random.nextInt(5), random.nextBoolean());
			List<ReceiveProgress> stopped = IntStream.range(0, random.nextInt(1, 150))
				.mapToObj((client) -> progress(random.nextInt((int) caller.heldBytes(), 300_000),
						random.nextInt(100, 9_000), false))
				.toList();
			Truth.assertThat(choose(Stream.concat(stopped.stream(), Stream.of(caller)).toList()))
				.isNotEqualTo(Optional.of(caller));
		}
	}

	private static ReceiveProgress progress(int heldBytes, int stalledMillis, boolean served) {
		return new ReceiveProgress(heldBytes, TimeUnit.MILLISECONDS.toNanos(stalledMillis), served);
	}

	private static Optional<ReceiveProgress> choose(List<ReceiveProgress> connections) {
		return LeastProgress.choose(connections.stream(), (progress) -> progress);
	}

}
