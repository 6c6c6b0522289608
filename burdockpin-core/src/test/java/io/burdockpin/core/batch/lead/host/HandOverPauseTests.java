package io.burdockpin.core.batch.lead.host;

import java.util.Random;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.MovePhase;
import org.junit.jupiter.api.Test;

/**
 * Guards against orders of two leaders that reach the platform within the lease of the
 * holder of a host. Times are those of the platform; the clock of the new leader is up to
 * 2% fast.
 */
class HandOverPauseTests {

	private static final int SEEDS = 200;

	private static final long LEASE_MILLIS = 3_000;

	private static final long LONGEST_WAY_MILLIS = 1_000;

	/** From the end of the last window of a leader to the election of the next one. */
	private static final long ELECTION_MARGIN_MILLIS = 100;

	private static final long ELECTED_MILLIS = 50_000;

	@Test
	void anOpenOrderIsSentAgainALeaseAfterItsArrival() {
		for (int seed = 0; seed < SEEDS; seed++) {
			Random random = new Random(seed);
			double rate = 1 + 0.02 * random.nextDouble();
			long arrivedMillis = ELECTED_MILLIS - ELECTION_MARGIN_MILLIS - random.nextLong(2_000)
					+ random.nextLong(LONGEST_WAY_MILLIS);
			HandOverPause pause = pause(new HostOrderHistory(0), rate);
			long sentMillis = LongStream.iterate(ELECTED_MILLIS, (millis) -> millis + 20)
				.filter((millis) -> pause.hasElapsedForOpenOrders(localMillis(millis, rate)))
				.findFirst()
				.getAsLong();
			Truth.assertWithMessage("seed %s", seed).that(sentMillis - arrivedMillis).isAtLeast(LEASE_MILLIS);
			Truth.assertWithMessage("seed %s", seed).that(sentMillis - ELECTED_MILLIS).isAtMost(4_020);
		}
	}

	@Test
	void aNewOrderIsSentALeaseAfterTheArrivalOfAnOrderWhoseEndIsCommitted() {
		for (int seed = 0; seed < SEEDS; seed++) {
			Random random = new Random(seed);
			double rate = 1 + 0.02 * random.nextDouble();
			long arrivedMillis = ELECTED_MILLIS - ELECTION_MARGIN_MILLIS - random.nextLong(2_000);
			long appliedMillis = arrivedMillis + random.nextLong(200);
			HostOrderHistory history = new HostOrderHistory(0);
			history.onApplied(new BatchCommand.SetMove("host", "pool", MovePhase.OVER), 1,
					localMillis(appliedMillis, rate));
			HandOverPause pause = pause(history, rate);
			long sentMillis = LongStream.iterate(ELECTED_MILLIS, (millis) -> millis + 20)
				.filter((millis) -> pause.hasElapsed("host", localMillis(millis, rate)))
				.findFirst()
				.getAsLong();
			Truth.assertWithMessage("seed %s", seed).that(sentMillis - arrivedMillis).isAtLeast(LEASE_MILLIS);
			Truth.assertWithMessage("seed %s", seed).that(pause.hasElapsed("other", ELECTED_MILLIS)).isTrue();
		}
	}

	private static HandOverPause pause(HostOrderHistory history, double rate) {
		return new HandOverPause(history, LEASE_MILLIS + LONGEST_WAY_MILLIS, localMillis(ELECTED_MILLIS, rate));
	}

	private static long localMillis(long platformMillis, double rate) {
		return (long) (rate * platformMillis);
	}

}
