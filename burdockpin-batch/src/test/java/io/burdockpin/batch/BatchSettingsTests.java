package io.burdockpin.batch;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import com.google.common.truth.Truth;
import io.burdockpin.batch.port.HostChannel;
import io.burdockpin.core.batch.lead.LeaderSettings;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.runtime.settings.SettingsLoader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class BatchSettingsTests {

	private static final String SETTINGS_OF_THE_PREVIOUS_RELEASE = """
			{
				"cluster": "burdockpin",
				"process": "core-1",
				"host": "10.0.0.1",
				"dataCentre": "dc1",
				"firstStart": true,
				"dataFolder": "",
				"internalPorts": [7000,7015],
				"seeds": ["10.0.0.1:8345"],
				"toleratedMembers": 1,
				"longestLeaseMillis": 6000,
				"handOverPauseMillis": 3000,
				"upkeepSeconds": 2,
				"graceSeconds": 6,
				"addresses": {"callers": "", "readiness": "", "control": "10.0.0.1:8345"},
				"platformAddress": "10.0.0.9:8344",
				"hostOrdersPerSecond": 64
			""";

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

	/**
	 * Guards against an order to close a data centre that is refused because none of its
	 * runners is registered yet.
	 */
	@Test
	void theDataCentresOfThePlatformAndThatOfTheProcessAreKnown() {
		Truth.assertThat(settings(List.of(7000, 7015), 1, Map.of("dc2", "region")).toDataCentreRules().configured())
			.containsExactly("dc1", "dc2");
	}

	/** Guards against a process that does not start with the settings of a release. */
	@Test
	void settingsWithAndWithoutDataCentresAreRead(@TempDir Path folder) throws IOException {
		Path file = folder.resolve("settings");
		Files.writeString(file, SETTINGS_OF_THE_PREVIOUS_RELEASE + "}");
		Truth.assertThat(new SettingsLoader().load(file, BatchSettings.class).dataCentres()).isEmpty();
		for (String empty : List.of("null", "{}")) {
			Files.writeString(file, SETTINGS_OF_THE_PREVIOUS_RELEASE + ", \"dataCentres\": " + empty + "}");
			Truth.assertThat(new SettingsLoader().load(file, BatchSettings.class).dataCentres()).isEmpty();
		}
		Files.writeString(file, SETTINGS_OF_THE_PREVIOUS_RELEASE
				+ ", \"dataCentres\": {\"dc1\": \"north\", \"dc2\": {\"region\": \"south\"}}}");
		Truth.assertThat(new SettingsLoader().load(file, BatchSettings.class).dataCentres().keySet())
			.containsExactly("dc1", "dc2");
	}

	/**
	 * Guards against a leader that lets no task wait although the platform gives a
	 * factor.
	 */
	@Test
	void theFactorOfRemoteTasksReachesTheLeader() {
		Truth.assertThat(settings(List.of(7000, 7015), 1).toLeaderSettings().remoteFactor().getAsDouble())
			.isEqualTo(1.5);
	}

	/** Guards against a process that does not start with the settings of a deployment. */
	@Test
	void aSettingsFileWithoutAFactorOfRemoteTasksIsLoaded(@TempDir Path folder) throws IOException {
		String common = """
				{"cluster": "c", "process": "p", "host": "10.0.0.1", "dataCentre": "dc1", "firstStart": true,
				"dataFolder": "", "internalPorts": [7000, 7015], "seeds": ["10.0.0.1:8345"], "toleratedMembers": 1,
				"longestLeaseMillis": 6000, "handOverPauseMillis": 3000, "upkeepSeconds": 2, "graceSeconds": 6,
				"addresses": {"callers": "", "readiness": "", "control": ""}, "platformAddress": "",
				"hostOrdersPerSecond": 64%s}""";
		Path file = folder.resolve("settings.json");
		Files.writeString(file, common.formatted(""));
		Truth.assertThat(new SettingsLoader().load(file, BatchSettings.class).remoteFactor().isPresent()).isFalse();
		Files.writeString(file, common.formatted(", \"remoteFactor\": 3"));
		Truth.assertThat(new SettingsLoader().load(file, BatchSettings.class).remoteFactor().getAsDouble())
			.isEqualTo(3.0);
	}

	private static BatchSettings settings(List<Integer> ports, int toleratedMembers) {
		return settings(ports, toleratedMembers, null);
	}

	private static BatchSettings settings(List<Integer> ports, int toleratedMembers, Map<String, Object> dataCentres) {
		return new BatchSettings("cluster", "process", "10.0.0.1", "dc1", true, Optional.of(""), ports,
				List.of("10.0.0.1:8345"), toleratedMembers, 6_000, 3_000, 2, 6,
				new BatchSettings.AddressSettings(Optional.of("10.0.0.1:1"), Optional.empty(), Optional.of("")),
				Optional.empty(), 64, dataCentres, OptionalDouble.of(1.5), null, null);
	}

}
