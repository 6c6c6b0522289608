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

/** Guards against a start with files that make links fail later, and unclear errors. */
class TlsIdentityTests {

	@TempDir
	private static Path folder;

	private static TestAuthority authority;

	private static TlsSettings good;

	@BeforeAll
	static void create() {
		authority = new TestAuthority(folder, "authority");
		good = authority.sign("c1");
	}

	@Test
	void theCertificateTellsItsHostAndItsEnd() {
		TlsIdentity identity = TlsIdentity.load(good, "c1", Instant.now());
		Truth.assertThat(identity.hosts()).containsExactly("c1");
		Truth.assertThat(identity.notAfter()).isGreaterThan(Instant.now());
	}

	@Test
	void aMissingFileIsNamed() {
		TlsSettings settings = new TlsSettings(good.certificateFile(), "/nowhere/key.pem", good.trustFile(), null);
		Truth.assertThat(errorOf(settings, "c1", Instant.now())).contains("keyFile: /nowhere/key.pem cannot be read");
	}

	@Test
	void aFileThatIsNoCertificateIsNamed() {
		TlsSettings settings = new TlsSettings(good.keyFile(), good.keyFile(), good.trustFile(), null);
		Truth.assertThat(errorOf(settings, "c1", Instant.now())).contains("certificateFile: " + good.keyFile());
	}

	@Test
	void aKeyOfAnotherCertificateIsRefusedWithoutRepeatingIt() throws Exception {
		TlsSettings other = authority.sign("c2");
		TlsSettings settings = new TlsSettings(good.certificateFile(), other.keyFile(), good.trustFile(), null);
		String error = errorOf(settings, "c1", Instant.now());
		Truth.assertThat(error)
			.contains(other.keyFile() + " does not fit the certificate in " + good.certificateFile());
		Truth.assertThat(error).doesNotContain(Files.readAllLines(Path.of(other.keyFile())).get(1));
	}

	@Test
	void anExpiredCertificateIsRefusedWithItsEnd() {
		Instant end = TlsIdentity.load(good, "c1", Instant.now()).notAfter();
		Truth.assertThat(errorOf(good, "c1", end.plusSeconds(1))).contains("expired at " + end);
		Truth.assertThat(errorOf(good, "c1", Instant.now().minus(Duration.ofDays(2)))).contains("is not valid before");
	}

	@Test
	void aCertificateOfAnotherHostIsRefused() {
		Truth.assertThat(errorOf(good, "c9", Instant.now())).contains("names the hosts [c1], not c9");
	}

	@Test
	void aCertificateOfAnotherAuthorityIsRefused() {
		TestAuthority other = new TestAuthority(folder, "other");
		TlsSettings settings = new TlsSettings(good.certificateFile(), good.keyFile(), other.trustFile(), null);
		Truth.assertThat(errorOf(settings, "c1", Instant.now())).contains("is not signed by an authority in");
	}

	@Test
	void aMissingNameOfAFileIsASettingsError() {
		try {
			new TlsSettings("a", null, "c", null);
			Truth.assertWithMessage("accepted").fail();
		}
		catch (InvalidValueException ex) {
			Truth.assertThat(ex).hasMessageThat().contains("keyFile is missing");
		}
	}

	@Test
	void renewedFilesComeIntoForceOnceTheyFitTogether() throws Exception {
		TlsSettings renewed = authority.sign("e1");
		TlsSettings settings = new TlsSettings(copy(authority.sign("e1-old", "-ext", "san=dns:e1").certificateFile()),
				copy(folder.resolve("e1-old-key.pem").toString()), good.trustFile(), null);
		ReloadableTlsIdentity current = new ReloadableTlsIdentity(settings, "e1");
		TlsIdentity first = current.identity();
		Truth.assertThat(current.hasChangedFiles()).isFalse();
		replace(renewed.certificateFile(), settings.certificateFile());
		Truth.assertThat(current.hasChangedFiles()).isTrue();
		Truth.assertThat(reloadErrorOf(current)).contains("does not fit");
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
