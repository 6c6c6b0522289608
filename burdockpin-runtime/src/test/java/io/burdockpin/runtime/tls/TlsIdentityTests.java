package io.burdockpin.runtime.tls;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.time.Instant;

import com.google.common.truth.Truth;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.runtime.settings.SettingsException;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a start with files that make links fail later, and against unclear error
 * messages.
 */
class TlsIdentityTests {

	@TempDir
	private static Path folder;

	private static TestAuthority authority;

	private static TlsSettings valid;

	@BeforeAll
	static void create() {
		authority = new TestAuthority(folder, "authority");
		valid = authority.sign("c1");
	}

	@Test
	void theIdentityContainsTheHostsAndTheExpiryOfTheCertificate() {
		TlsIdentity identity = TlsIdentity.load(valid, "c1", Instant.now());
		Truth.assertThat(identity.hosts()).containsExactly("c1");
		Truth.assertThat(identity.notAfter()).isGreaterThan(Instant.now());
	}

	@Test
	void theErrorNamesAMissingFile() {
		TlsSettings settings = new TlsSettings(valid.certificateFile(), "/nowhere/key.pem", valid.trustFile(), null);
		Truth.assertThat(errorOf(settings, "c1", Instant.now())).contains("keyFile: /nowhere/key.pem cannot be read");
	}

	@Test
	void theErrorNamesAFileWithoutACertificate() {
		TlsSettings settings = new TlsSettings(valid.keyFile(), valid.keyFile(), valid.trustFile(), null);
		Truth.assertThat(errorOf(settings, "c1", Instant.now())).contains("certificateFile: " + valid.keyFile());
	}

	@Test
	void aKeyOfAnotherCertificateIsRejectedWithoutRevealingIt() throws Exception {
		TlsSettings other = authority.sign("c2");
		TlsSettings settings = new TlsSettings(valid.certificateFile(), other.keyFile(), valid.trustFile(), null);
		String error = errorOf(settings, "c1", Instant.now());
		Truth.assertThat(error)
			.contains(other.keyFile() + " does not match the certificate in " + valid.certificateFile());
		Truth.assertThat(error).doesNotContain(Files.readAllLines(Path.of(other.keyFile())).get(1));
	}

	@Test
	void anExpiredCertificateIsRejectedWithItsExpiry() {
		Instant end = TlsIdentity.load(valid, "c1", Instant.now()).notAfter();
		Truth.assertThat(errorOf(valid, "c1", end.plusSeconds(1))).contains("expired at " + end);
		Truth.assertThat(errorOf(valid, "c1", Instant.now().minus(Duration.ofDays(2)))).contains("is not valid before");
	}

	@Test
	void aCertificateOfAnotherHostIsRejected() {
		Truth.assertThat(errorOf(valid, "c9", Instant.now())).contains("names the hosts [c1], not c9");
	}

	@Test
	void aCertificateOfAnotherAuthorityIsRejected() {
		TestAuthority other = new TestAuthority(folder, "other");
		TlsSettings settings = new TlsSettings(valid.certificateFile(), valid.keyFile(), other.trustFile(), null);
		Truth.assertThat(errorOf(settings, "c1", Instant.now())).contains("is not signed by an authority in");
	}

	@Test
	void aMissingFileNameIsASettingsError() {
		try {
			new TlsSettings("a", null, "c", null);
			Truth.assertWithMessage("accepted").fail();
		}
		catch (InvalidValueException ex) {
			Truth.assertThat(ex).hasMessageThat().contains("keyFile is missing");
		}
	}

	@Test
	void renewedFilesAreUsedOnceTheyMatchEachOther() throws Exception {
		TlsSettings renewed = authority.sign("e1");
		TlsSettings settings = new TlsSettings(copy(authority.sign("e1-old", "-ext", "san=dns:e1").certificateFile()),
				copy(folder.resolve("e1-old-key.pem").toString()), valid.trustFile(), null);
		ReloadableTlsIdentity current = new ReloadableTlsIdentity(settings, "e1");
		TlsIdentity first = current.identity();
		Truth.assertThat(current.hasChangedFiles()).isFalse();
		replace(renewed.certificateFile(), settings.certificateFile());
		Truth.assertThat(current.hasChangedFiles()).isTrue();
		Truth.assertThat(reloadErrorOf(current)).contains("does not match");
		Truth.assertThat(current.identity()).isSameInstanceAs(first);
		replace(renewed.keyFile(), settings.keyFile());
		Truth.assertThat(reloadErrorOf(current)).isEmpty();
		Truth.assertThat(current.identity().digest()).isNotEqualTo(first.digest());
		Truth.assertThat(current.hasChangedFiles()).isFalse();
	}

	private static String copy(String file) throws Exception {
		return Files.copy(Path.of(file), Path.of(file + ".used")).toString();
	}

	private static void replace(String file, String target) throws Exception {
		Files.copy(Path.of(file), Path.of(target), StandardCopyOption.REPLACE_EXISTING);
	}

	private static String reloadErrorOf(ReloadableTlsIdentity current) {
		try {
			current.reload();
			return "";
		}
		catch (SettingsException ex) {
			return ex.getMessage();
		}
	}

	private static String errorOf(TlsSettings settings, String host, Instant now) {
		try {
			TlsIdentity.load(settings, host, now);
			return "accepted";
		}
		catch (SettingsException ex) {
			return ex.getMessage();
		}
	}

}
