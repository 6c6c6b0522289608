package io.burdockpin.core.admission;

import java.util.OptionalLong;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Guards against a resumed process that uses the configuration from before the pause. */
class ConfigurationFreshnessTests {

	private final ConfigurationFreshness freshness = new ConfigurationFreshness(2_000, 0);

	@Test
	void aRunningProcessNeedsNoConfirmation() {
		for (long nowMillis = 0; nowMillis <= 60_000; nowMillis += 2_000) {
			Truth.assertThat(this.freshness.recordActivity(nowMillis)).isEqualTo(OptionalLong.empty());
		}
		Truth.assertThat(this.freshness.isConfirmed()).isTrue();
	}

	@Test
	void aPauseIsReportedOnceAndNeedsAConfirmation() {
		Truth.assertThat(this.freshness.recordActivity(2_001)).isEqualTo(OptionalLong.of(1));
		Truth.assertThat(this.freshness.recordActivity(2_002)).isEqualTo(OptionalLong.empty());
		Truth.assertThat(this.freshness.isConfirmed()).isFalse();
		this.freshness.confirm(1);
		Truth.assertThat(this.freshness.isConfirmed()).isTrue();
	}

	@Test
	void aConfirmationRequestedBeforeTheLastPauseIsIgnored() {
		this.freshness.recordActivity(5_000);
		this.freshness.recordActivity(10_000);
		this.freshness.confirm(1);
		Truth.assertThat(this.freshness.isConfirmed()).isFalse();
	}

}
