package io.burdockpin.batch;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.runtime.http.socket.ClientLimits;
import io.burdockpin.runtime.settings.SettingsException;
import io.burdockpin.runtime.settings.SettingsLoader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against limits that reject legal clients, and against settings that no longer
 * load.
 */
class ClientLimitSettingsTests {

	private static final int LEGAL_HEAD_BYTES = 16_384;

	private static final int LEGAL_CALLER_BODY_BYTES = 262_144;

	private static final int LEGAL_ANNOUNCEMENT_BYTES = 4 * 1_024 * 1_024;

	private static final int LEGAL_CONFIGURATION_BYTES = 8 * 1_024 * 1_024;

	private static final int LEGAL_HEAD_MILLIS = 3_000;

	private static final int LEGAL_IDLE_MILLIS = 15_000;

	/** The line end, the size of one digit and its line end. */
	private static final int TINY_CHUNK_OVERHEAD_BYTES = 5;

	private static final int RUNNERS = 770;

	private static final int OPERATOR_ORDERS = 8;

	private static final int DESCRIPTORS = 4_096;

	/** Links, the log, files of the JVM and reserves. */
	private static final int OTHER_DESCRIPTORS = 256;

	/** A request of a runner or operator other than the largest ones. */
	private static final int ORDINARY_REQUEST_BYTES = 4_096;

	/** The JSON of a usual job. */
	private static final int ORDINARY_JOB_BYTES = 2_048;

	private static final int CALLERS = 800;

	@TempDir
	private Path folder;

	@Test
	void noLegalCallerReachesADefault() {
		ClientLimits limits = ClientLimitSettings.DEFAULT.toCallerLimits();
		assertLegalTimes(limits);
		Truth.assertThat(limits.messages().bodyBytes()).isGreaterThan(LEGAL_CALLER_BODY_BYTES);
		Truth.assertThat(limits.messages().chunkOverheadBytes())
			.isGreaterThan(TINY_CHUNK_OVERHEAD_BYTES * LEGAL_CALLER_BODY_BYTES);
		Truth.assertThat(limits.receiving().connections()).isGreaterThan(CALLERS);
		// All callers at once with a usual job, and some with the largest one beside them
		Truth.assertThat(limits.receiving().heldBytes())
			.isGreaterThan(CALLERS * ORDINARY_JOB_BYTES + 16 * (LEGAL_HEAD_BYTES + LEGAL_CALLER_BODY_BYTES));
	}

	@Test
	void noLegalRunnerOrOperatorReachesADefault() {
		ClientLimits limits = ClientLimitSettings.DEFAULT.toControlLimits();
		assertLegalTimes(limits);
		Truth.assertThat(limits.messages().bodyBytes()).isAtLeast(LEGAL_CONFIGURATION_BYTES);
		Truth.assertThat(limits.receiving().connections()).isGreaterThan(RUNNERS + OPERATOR_ORDERS);
		Truth.assertThat(limits.receiving().heldBytes())
			.isGreaterThan(LEGAL_CONFIGURATION_BYTES + 2 * LEGAL_ANNOUNCEMENT_BYTES
					+ (RUNNERS + OPERATOR_ORDERS) * ORDINARY_REQUEST_BYTES);
	}

	@Test
	void aQuestionOfAnOperatorMayContainTheLargestJob() {
		ClientLimits limits = ClientLimitSettings.DEFAULT.toReadinessLimits();
		assertLegalTimes(limits);
		Truth.assertThat(limits.messages().bodyBytes()).isGreaterThan(LEGAL_CALLER_BODY_BYTES);
	}

	/**
	 * Guards against processes that cannot open files because clients have connections.
	 */
	@Test
	void theConnectionsLeaveDescriptorsForLinksAndRunners() {
		int callers = descriptors(ClientLimitSettings.DEFAULT.toCallerLimits())
				+ descriptors(ClientLimitSettings.DEFAULT.toReadinessLimits());
		Truth.assertThat(callers + OTHER_DESCRIPTORS).isLessThan(DESCRIPTORS);
		int control = descriptors(ClientLimitSettings.DEFAULT.toControlLimits());
		Truth.assertThat(control + 2 * RUNNERS + OTHER_DESCRIPTORS).isLessThan(DESCRIPTORS);
	}

	@Test
	void settingsWithoutLimitsHaveTheDefaults() throws IOException {
		Truth.assertThat(load("").clientLimits()).isEqualTo(ClientLimitSettings.DEFAULT);
	}

	@Test
	void aLimitThatIsMissingHasItsDefault() throws IOException {
		ClientLimitSettings limits = load(", \"clientLimits\": {\"callers\": {\"heldBytes\": 1000000}}").clientLimits();
		ClientLimits defaults = ClientLimitSettings.DEFAULT.toCallerLimits();
		Truth.assertThat(limits.toCallerLimits().receiving().heldBytes()).isEqualTo(1_000_000);
		Truth.assertThat(limits.toCallerLimits().receiving().connections())
			.isEqualTo(defaults.receiving().connections());
		Truth.assertThat(limits.toCallerLimits().messages()).isEqualTo(defaults.messages());
		Truth.assertThat(limits.toControlLimits()).isEqualTo(ClientLimitSettings.DEFAULT.toControlLimits());
	}

	@Test
	void aListenerThatCannotHoldItsLargestRequestIsRefused() throws IOException {
		Optional<String> message = Optional.empty();
		try {
			load(", \"clientLimits\": {\"control\": {\"heldBytes\": 8388608}}");
		}
		catch (SettingsException | InvalidValueException ex) {
			message = Optional.of(ex.getMessage());
		}
		Truth.assertThat(message.get()).contains("heldBytes");
	}

	private BatchSettings load(String more) throws IOException {
		Path file = this.folder.resolve("settings.json");
		Files.writeString(file, """
				{"cluster": "c", "process": "p", "host": "10.0.0.1", "dataCentre": "dc1", "firstStart": true,
				"dataFolder": "", "internalPorts": [7000, 7015], "seeds": ["10.0.0.1:8345"], "toleratedMembers": 1,
				"longestLeaseMillis": 6000, "handOverPauseMillis": 3000, "upkeepSeconds": 2, "graceSeconds": 6,
				"addresses": {"callers": "10.0.0.1:1", "readiness": "", "control": ""}, "platformAddress": "",
				"hostOrdersPerSecond": 64.0%s}""".formatted(more));
		return new SettingsLoader().load(file, BatchSettings.class);
	}

	private static void assertLegalTimes(ClientLimits limits) {
		Truth.assertThat(limits.messages().headBytes()).isGreaterThan(LEGAL_HEAD_BYTES);
		Truth.assertThat(limits.receiving().headMillis()).isGreaterThan(LEGAL_HEAD_MILLIS);
		Truth.assertThat(limits.receiving().idleMillis()).isGreaterThan(LEGAL_IDLE_MILLIS);
	}

	// A listener has a quarter more connections while dropped ones are being closed.
	private static int descriptors(ClientLimits limits) {
		return limits.receiving().connections() * 5 / 4 + 1;
	}

}
