package io.burdockpin.core.consensus;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

class ElectionPatienceTests {

	private final ElectionPatience patience = new ElectionPatience();

	@Test
	void theFirstElectionAfterACalmTimeIsNotDelayed() {
		this.patience.onLeader(1, 1_000);
		Truth.assertThat(this.patience.factor(1_000)).isEqualTo(1);
		this.patience.onLeader(2, 20_000);
		Truth.assertThat(this.patience.factor(20_000)).isEqualTo(1);
	}

	/**
	 * Guards against leaders that replace each other before any of them has asked its
	 * runners. Load pattern: a group of slow hosts starts.
	 */
	@Test
	void timeoutsDoubleWhileLeadersFollowEachOther() {
		this.patience.onLeader(1, 1_000);
		this.patience.onLeader(2, 2_500);
		Truth.assertThat(this.patience.factor(2_500)).isEqualTo(2);
		this.patience.onLeader(5, 4_000);
		this.patience.onLeader(6, 6_000);
		Truth.assertThat(this.patience.factor(6_000)).isEqualTo(4);
		Truth.assertThat(this.patience.factor(13_000)).isEqualTo(2);
		Truth.assertThat(this.patience.factor(20_000)).isEqualTo(1);
	}

	@Test
	void aLeaderThatIsHeardAgainCountsOnce() {
		this.patience.onLeader(3, 1_000);
		this.patience.onLeader(3, 2_000);
		Truth.assertThat(this.patience.factor(2_000)).isEqualTo(1);
	}

}
