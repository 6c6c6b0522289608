package io.burdockpin.core.admission;

import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.KeyRecord;
import io.burdockpin.core.state.QueueRecord;
import io.burdockpin.core.state.TeamRecord;
import org.junit.jupiter.api.Test;

/**
 * Guards P3 and P4: a request is assigned to the team of its key only, and a withdrawn
 * key is never accepted.
 */
class AdmissionTests {

	private static final long NOW_MILLIS = 1_700_000_000_000L;

	private static final TeamName TEAM = new TeamName("detailers");

	private static final KeyHash KEY = KeyHash.of("key");

	private static final ConfigurationView CONFIGURATION = ConfigurationView
		.of(new ConfigurationSnapshot(9, List.of(), List.of(), List.of(new TeamRecord(new TeamSpec(TEAM, 4, 10, 0), 1)),
				List.of(new KeyRecord(KEY, TEAM, "first", false, 1)),
				List.of(new QueueRecord(new QueueName("closed"), false, 1),
						new QueueRecord(new QueueName("open"), true, 1))));

	private final Admission admission = new Admission(
			new AdmissionLimits(1024, 60_000, 600_000, new RequestIdWindow(3_600_000, 300_000)), NOW_MILLIS);

	AdmissionTests() {
		this.admission.configure(CONFIGURATION);
	}

	@Test
	void aRequestGetsTheTeamAndTheWeightOfItsKey() {
		AdmissionResult.Admitted admitted = (AdmissionResult.Admitted) check("closed", Optional.of(KEY), NOW_MILLIS);
		Truth.assertThat(admitted.team()).hasValue(TEAM);
		Truth.assertThat(admitted.weight()).isEqualTo(4);
		Truth.assertThat(admitted.deadlineMillis()).isEqualTo(NOW_MILLIS + 1000);
	}

	@Test
	void aRequestIsRefusedWithoutAConfigurationAndItsQueueIsUnknownInAnEmptyOne() {
		Admission unconfigured = new Admission(
				new AdmissionLimits(1024, 60_000, 600_000, new RequestIdWindow(3_600_000, 300_000)), NOW_MILLIS);
		AdmissionRequest request = request("closed", Optional.of(KEY));
		Truth.assertThat(code(unconfigured.check(request, () -> false, NOW_MILLIS))).isEqualTo(ErrorCode.NO_MAJORITY);
		unconfigured.configure(ConfigurationView.EMPTY);
		Truth.assertThat(code(unconfigured.check(request, () -> false, NOW_MILLIS))).isEqualTo(ErrorCode.UNKNOWN_QUEUE);
	}

	@Test
	void aRequestWithoutAKeyOnAnOpenQueueBelongsToNoTeam() {
		AdmissionResult.Admitted admitted = (AdmissionResult.Admitted) check("open", Optional.empty(), NOW_MILLIS);
		Truth.assertThat(admitted.team()).isEmpty();
		Truth.assertThat(code(check("closed", Optional.empty(), NOW_MILLIS))).isEqualTo(ErrorCode.KEY_MISSING);
	}

	@Test
	void aKeyWithdrawnLocallyStaysRefusedWhileTheFeedStillGrantsIt() {
		this.admission.withdraw(List.of(KEY));
		this.admission
			.configure(CONFIGURATION.with(10, new ConfigurationCommand.UpdateTeam(new TeamSpec(TEAM, 5, 10, 0))));
		Truth.assertThat(code(check("closed", Optional.of(KEY), NOW_MILLIS))).isEqualTo(ErrorCode.KEY_WITHDRAWN);
		Truth.assertThat(code(check("open", Optional.of(KEY), NOW_MILLIS))).isEqualTo(ErrorCode.KEY_WITHDRAWN);
	}

	@Test
	void aWithdrawnKeyIsRefusedAfterTheFeedHasDeliveredTheWithdrawal() {
		this.admission.configure(CONFIGURATION.with(10, new ConfigurationCommand.WithdrawKey(KEY)));
		Truth.assertThat(code(check("closed", Optional.of(KEY), NOW_MILLIS))).isEqualTo(ErrorCode.KEY_WITHDRAWN);
	}

	@Test
	void anOlderConfigurationNeverReplacesANewerOne() {
		this.admission.configure(CONFIGURATION.with(10, new ConfigurationCommand.WithdrawKey(KEY)));
		this.admission.configure(CONFIGURATION);
		Truth.assertThat(this.admission.configuration().index()).isEqualTo(10);
	}

	@Test
	void knownKeysAreAcceptedOnlyForTheGracePeriodAfterTheLastMajorityContact() {
		this.admission.onMajorityContact(NOW_MILLIS + 1000);
		Truth.assertThat(check("closed", Optional.of(KEY), NOW_MILLIS + 600_999))
			.isInstanceOf(AdmissionResult.Admitted.class);
		Truth.assertThat(code(check("closed", Optional.of(KEY), NOW_MILLIS + 601_000)))
			.isEqualTo(ErrorCode.KEY_UNVERIFIED);
		Truth.assertThat(check("open", Optional.empty(), NOW_MILLIS + 601_000))
			.isInstanceOf(AdmissionResult.Admitted.class);
	}

	@Test
	void identifiersOutsideTheWindowAreRefusedUnlessTheRequestIsRepeatable() {
		Truth.assertThat(code(checkNotRepeatable(NOW_MILLIS - 3_600_000))).isEqualTo(ErrorCode.REQUEST_ID_REJECTED);
		Truth.assertThat(checkNotRepeatable(NOW_MILLIS - 3_599_000)).isInstanceOf(AdmissionResult.Admitted.class);
		Truth.assertThat(checkNotRepeatable(NOW_MILLIS + 300_000)).isInstanceOf(AdmissionResult.Admitted.class);
		Truth.assertThat(code(checkNotRepeatable(NOW_MILLIS + 301_000))).isEqualTo(ErrorCode.REQUEST_ID_REJECTED);
	}

	@Test
	void aFullQueueRefusesOnlyRequestsThatPassTheOtherChecks() {
		Truth.assertThat(code(this.admission.check(request("closed", Optional.of(KEY)), () -> true, NOW_MILLIS)))
			.isEqualTo(ErrorCode.QUEUE_FULL);
		Truth.assertThat(code(this.admission.check(request("closed", Optional.empty()), () -> true, NOW_MILLIS)))
			.isEqualTo(ErrorCode.KEY_MISSING);
	}

	private AdmissionResult check(String queue, Optional<KeyHash> key, long nowMillis) {
		return this.admission.check(request(queue, key), () -> false, nowMillis);
	}

	private AdmissionResult checkNotRepeatable(long identifierMillis) {
		AdmissionRequest request = new AdmissionRequest(new QueueName("closed"), 1, Optional.of(KEY),
				Optional.of(new RequestId(identifierMillis / 1000 + "-a")), false, 1000);
		return this.admission.check(request, () -> false, NOW_MILLIS);
	}

	private static AdmissionRequest request(String queue, Optional<KeyHash> key) {
		return new AdmissionRequest(new QueueName(queue), 1, key, Optional.empty(), true, 1000);
	}

	private static ErrorCode code(AdmissionResult result) {
		return ((AdmissionResult.Refused) result).code();
	}

}
