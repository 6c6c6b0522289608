package io.burdockpin.batch.scheduler;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

class LeaderLoadTests {

	private final LeaderLoad load = new LeaderLoad(40, 1_000);

	/** Guards against an unresponsive leader whose cause cannot be found in the log. */
	@Test
	void aPeriodReportsItsCountsAndTheLongestTickDelay() {
		this.load.countCall();
		this.load.countConnection();
		this.load.countOrder(true);
		this.load.countOrder(false);
		this.load.countOrder(false);
		this.load.countBusy(30);
		Truth.assertThat(this.load.onTick(1_040)).isEmpty();
		Truth.assertThat(this.load.onTick(1_500)).isEmpty();
		Truth.assertThat(this.load.onTick(2_010)).hasValue(new LeaderLoad.Period(1_010, 1, 1, 2, 1, 30, 470));
	}

	@Test
	void aPeriodStartsWithoutCounts() {
		this.load.countCall();
		this.load.onTick(2_000);
		for (long nowMillis = 2_040; nowMillis < 3_000; nowMillis += 40) {
			Truth.assertThat(this.load.onTick(nowMillis)).isEmpty();
		}
		Truth.assertThat(this.load.onTick(3_000)).hasValue(new LeaderLoad.Period(1_000, 0, 0, 0, 0, 0, 0));
	}

}
