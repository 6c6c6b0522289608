package io.burdockpin.systemtest;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.common.truth.Truth;
import io.burdockpin.control.ControlProgram;
import io.burdockpin.entry.EntryProgram;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.systemtest.fleet.StartAttempt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against programs that start half, hang or give no reason when they cannot start.
 */
class RefusedStartTests {

	private static final String IP = "127.9.0.1";

	@TempDir
	Path folder;

	@Test
	void anEntryHostWhoseAddressIsInUseEndsWithTheReason() throws IOException {
		try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
			StartAttempt attempt = new StartAttempt(this.folder, "entry", EntryProgram.class,
					entry(taken.getLocalPort()));
			Truth.assertThat(attempt.run()).isEqualTo(ExitStatus.ADDRESS_UNAVAILABLE.status());
			Truth.assertThat(attempt.output()).contains(Integer.toString(taken.getLocalPort()));
		}
	}

	@Test
	void aControlMemberWhoseAddressIsInUseEndsWithTheReason() throws IOException {
		try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
			StartAttempt attempt = new StartAttempt(this.folder, "control", ControlProgram.class,
					control(taken.getLocalPort(), this.folder.resolve("data")));
			Truth.assertThat(attempt.run()).isEqualTo(ExitStatus.ADDRESS_UNAVAILABLE.status());
			Truth.assertThat(attempt.output()).contains("Cannot listen");
		}
	}

	@Test
	void aControlMemberWithoutAUsableDataFolderEndsWithTheReason() throws IOException {
		Path file = Files.writeString(this.folder.resolve("file"), "not a folder");
		StartAttempt attempt = new StartAttempt(this.folder, "control", ControlProgram.class,
				control(0, file.resolve("data")));
		Truth.assertThat(attempt.run()).isEqualTo(ExitStatus.STORAGE.status());
		Truth.assertThat(attempt.output()).contains("STORAGE_FAILED");
	}

	@Test
	void anUnknownSettingIsRefusedWithFileAndLine() {
		Map<String, Object> settings = new HashMap<>(entry(0));
		settings.put("colour", "red");
		StartAttempt attempt = new StartAttempt(this.folder, "entry", EntryProgram.class, settings);
		Truth.assertThat(attempt.run()).isEqualTo(ExitStatus.BAD_SETTINGS.status());
		Truth.assertThat(attempt.output()).contains("entry.json:1");
		Truth.assertThat(attempt.output()).contains("colour");
	}

	@Test
	void aMissingCertificateIsRefusedWithItsName() {
		Map<String, Object> settings = new HashMap<>(entry(0));
		String missing = this.folder.resolve("missing.pem").toString();
		settings.put("tls", Map.of("certificateFile", missing, "keyFile", missing, "trustFile", missing));
		StartAttempt attempt = new StartAttempt(this.folder, "entry", EntryProgram.class, settings);
		Truth.assertThat(attempt.run()).isEqualTo(ExitStatus.BAD_SETTINGS.status());
		Truth.assertThat(attempt.output()).contains("certificateFile: " + missing + " cannot be read");
	}

	@Test
	void aRestoreWithoutANewIncarnationIsRefused() {
		StartAttempt attempt = restore("--restore", this.folder.toString(), "--incarnation", "1");
		Truth.assertThat(attempt.run()).isEqualTo(ExitStatus.USAGE.status());
		Truth.assertThat(attempt.output()).contains("--incarnation");
	}

	@Test
	void aFolderThatIsNoBackupOfTheClusterIsNotRestored() {
		StartAttempt attempt = restore("--restore", this.folder.toString(), "--incarnation", "7");
		Truth.assertThat(attempt.run()).isEqualTo(ExitStatus.STORAGE.status());
		Truth.assertThat(attempt.output()).contains("is no backup of cluster refused");
		Truth.assertThat(Files.exists(this.folder.resolve("data").resolve("identity.json"))).isFalse();
	}

	private StartAttempt restore(String... arguments) {
		return new StartAttempt(this.folder, "control", ControlProgram.class, control(0, this.folder.resolve("data")),
				arguments);
	}

	private static Map<String, Object> entry(int httpPort) {
		return Map.of("name", "e1", "dataCentre", "dc1", "httpAddress", address(httpPort), "peerAddress",
				address(httpPort), "peers", List.of(), "members",
				List.of(Map.of("name", "c1", "clientAddress", address(httpPort))));
	}

	private static Map<String, Object> address(int port) {
		return Map.of("ip", IP, "port", Math.max(1, port));
	}

	private static Map<String, Object> control(int port, Path dataFolder) {
		String address = IP + ":" + Math.max(1, port);
		return Map.of("cluster", "refused", "host", "c1", "dataCentre", "dc1", "dataFolder", dataFolder.toString(),
				"memberAddress", address, "clientAddress", address, "adminAddress", address, "members",
				List.of(Map.of("host", "c1", "address", address)));
	}

}
