package io.burdockpin.batch;

import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.batch.port.HostChannel;
import io.burdockpin.core.batch.lead.LeaderSettings;
import io.burdockpin.core.exc.InvalidValueException;
import org.junit.jupiter.api.Test;

class BatchSettingsTests {

	@Test
	void theGroupGrowsToOneMemberMoreThanTwiceTheToleratedLosses() {
		Truth.assertThat(settings(List.of(7000, 7015), 1).toConsensusSettings().intendedVoters()).isEqualTo(3);
		Truth.assertThat(settings(List.of(7000, 7015), 2).toConsensusSettings().intendedVoters()).isEqualTo(5);
	}

	@Test
	void aLeaseStaysBelowTheLongestThatRunnersAccept() {
		Truth.assertThat(settings(List.of(7000, 7015), 1).toLeaderSettings().sessions().leaseMillis()).isEqualTo(4_800);
	}

	@Test
	void emptyStringsFromTheTemplateCountAsMissing() {
		BatchSettings settings = settings(List.of(7000, 7015), 1);
		Truth.assertThat(settings.dataFolder()).isEmpty();
		Truth.assertThat(settings.addresses().control()).isEmpty();
	}

	@Test
	void aRangeOfOnePortIsRefused() {
		Optional<String> message = Optional.empty();
		try {
			settings(List.of(7000, 7000), 1);
		}
		catch (InvalidValueException ex) {
			message = Optional.of(ex.getMessage());
		}
		Truth.assertThat(message.get()).contains("internalPorts");
	}

	/**
	 * Guards against an order that follows the one of an earlier leader too soon, because
	 * the earlier order was still on its way when the new leader was elected.
	 */
	@Test
	void thePauseBetweenLeadersAlsoCoversTheLongestWayOfAnOrder() {
		LeaderSettings leader = settings(List.of(7000, 7015), 1).toLeaderSettings();
		int expectedMillis = 3_000 + HostChannel.Send.ANSWER_TIMEOUT_MILLIS;
		Truth.assertThat(leader.waves().handOverPauseMillis()).isEqualTo(expectedMillis);
		Truth.assertThat(leader.balance().handOverPauseMillis()).isEqualTo(expectedMillis);
	}

	private static BatchSettings settings(List<Integer> ports, int toleratedMembers) {
		return new BatchSettings("cluster", "process", "10.0.0.1", "dc1", true, Optional.of(""), ports,
				List.of("10.0.0.1:8345"), toleratedMembers, 6_000, 3_000, 2, 6,
				new BatchSettings.AddressSettings(Optional.of("10.0.0.1:1"), Optional.empty(), Optional.of("")),
				Optional.empty(), 64, null);
	}

}
