package io.burdockpin.core.consensus;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Tests {@link ElectionBackoff}. */
class ElectionBackoffTests {

	private final ElectionBackoff backoff = new ElectionBackoff();

	@Test
	void theFirstElectionAfterAStablePeriodIsNotDelayed() {
		this.backoff.onLeader(1, 1_000);
		Truth.assertThat(this.backoff.timeoutFactor(1_000)).isEqualTo(1);
		this.backoff.onLeader(2, 20_000);
		Truth.assertThat(this.backoff.timeoutFactor(20_000)).isEqualTo(1);
	}

	/**
	 * Guards against leaders that replace each other before any of them has queried its
	 * runners, as happens when a group of slow hosts starts.
	 */
	@Test
	void timeoutsDoubleWhileTheLeaderChangesFrequently() {
		this.backoff.onLeader(1, 1_000);
		this.backoff.onLeader(2, 2_500);
		Truth.assertThat(this.backoff.timeoutFactor(2_500)).isEqualTo(2);
		this.backoff.onLeader(5, 4_000);
		this.backoff.onLeader(6, 6_000);
		Truth.assertThat(this.backoff.timeoutFactor(6_000)).isEqualTo(4);
		Truth.assertThat(this.backoff.timeoutFactor(13_000)).isEqualTo(2);
		Truth.assertThat(this.backoff.timeoutFactor(20_000)).isEqualTo(1);
	}

	@Test
	void repeatedContactWithTheSameLeaderCountsOnce() {
		this.backoff.onLeader(3, 1_000);
		this.backoff.onLeader(3, 2_000);
		Truth.assertThat(this.backoff.timeoutFactor(2_000)).isEqualTo(1);
	}

}
