package io.burdockpin.core.placement;

import java.util.List;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.state.JobRecord;
import org.junit.jupiter.api.Test;

/** Guards against a job that runs on two workers because its lease expires too early. */
class JobLeasesTests {

	private static final long EXPIRY_MILLIS = 36_000;

	private final JobLeases leases = new JobLeases(LeaseSettings.DEFAULT);

	private final JobRecord repeatable = Records.placedOn(1, "j-1", Records.spec("team-1", 1, false, true),
			JobState.RUNNING);

	private final JobRecord notRepeatable = Records.placedOn(1, "j-2", Records.spec("team-1", 1, false, false),
			JobState.RUNNING);

	@Test
	void aLeaseExpiresOnlyAfterItsDurationAndTheMargin() {
		this.leases.observe(List.of(this.repeatable), 0);
		this.leases.renew(this.repeatable.id(), 1, 5_000);
		Truth.assertThat(this.leases.hasExpired(this.repeatable, 5_000 + EXPIRY_MILLIS - 1)).isFalse();
		Truth.assertThat(this.leases.hasExpired(this.repeatable, 5_000 + EXPIRY_MILLIS)).isTrue();
	}

	@Test
	void aNewLeaderWaitsAFullLeasePeriodEvenIfTheLeaseWasNeverRenewed() {
		this.leases.observe(List.of(this.repeatable), 0);
		this.leases.reset();
		this.leases.observe(List.of(this.repeatable), 100_000);
		Truth.assertThat(this.leases.hasExpired(this.repeatable, 100_000 + EXPIRY_MILLIS - 1)).isFalse();
		Truth.assertThat(this.leases.hasExpired(this.repeatable, 100_000 + EXPIRY_MILLIS)).isTrue();
	}

	@Test
	void theLeaseOfAJobThatIsNotRepeatableNeverExpires() {
		this.leases.observe(List.of(this.notRepeatable), 0);
		Truth.assertThat(this.leases.hasExpired(this.notRepeatable, 100 * EXPIRY_MILLIS)).isFalse();
	}

}
