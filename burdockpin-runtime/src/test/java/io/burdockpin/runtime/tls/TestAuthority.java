package io.burdockpin.runtime.tls;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

import com.google.common.truth.Truth;

/**
 * Test certificate authority: signs certificates with the JDK's {@code keytool} and
 * writes them as PEM files.
 */
public final class TestAuthority {

	private static final String PASSWORD = "test-password";

	private final Path folder;

	private final String name;

	private final Path store;

	public TestAuthority(Path folder, String name) {
		this.folder = folder;
		this.name = name;
		this.store = folder.resolve(name + ".p12");
		generate(name, "-ext", "bc:c", "-validity", "365");
		write(name + "-trust.pem", pem("CERTIFICATE", certificate(name)));
	}

	/** Writes the certificate and the key of a host. */
	public TlsSettings sign(String host, String... extraArguments) {
		List<String> arguments = new ArrayList<>(
				List.of("-signer", this.name, "-ext", "san=dns:" + host + ",ip:127.0.0.1"));
		arguments.addAll(List.of(extraArguments));
		generate(host, arguments.toArray(String[]::new));
		return new TlsSettings(write(host + ".pem", pem("CERTIFICATE", certificate(host))),
				write(host + "-key.pem", pem("PRIVATE KEY", key(host))), trustFile(), 1);
	}

	public String trustFile() {
		return this.folder.resolve(this.name + "-trust.pem").toString();
	}

	private void generate(String alias, String... extraArguments) {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "keytool").toString(),
						"-J-XX:TieredStopAtLevel=1", "-genkeypair", "-keystore", this.store.toString(), "-storetype",
						"PKCS12", "-storepass", PASSWORD, "-alias", alias, "-keyalg", "EC", "-dname", "CN=" + alias));
		command.addAll(List.of(extraArguments));
		try {
			Process keytool = new ProcessBuilder(command).redirectErrorStream(true).start();
			String output = new String(keytool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			Truth.assertWithMessage(output).that(keytool.waitFor()).isEqualTo(0);
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException("keytool failed", ex);
		}
	}

	private byte[] certificate(String alias) {
		try {
			return load().getCertificate(alias).getEncoded();
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private byte[] key(String alias) {
		try {
			return load().getKey(alias, PASSWORD.toCharArray()).getEncoded();
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private KeyStore load() {
		try (InputStream input = Files.newInputStream(this.store)) {
			KeyStore loaded = KeyStore.getInstance("PKCS12");
			loaded.load(input, PASSWORD.toCharArray());
			return loaded;
		}
		catch (IOException | GeneralSecurityException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static String pem(String label, byte[] encoded) {
		String text = Base64.getMimeEncoder(64, new byte[] { '\n' }).encodeToString(encoded);
		return "-----BEGIN %s-----\n%s\n-----END %s-----\n".formatted(label, text, label);
	}

	private String write(String file, String text) {
		try {
			return Files.writeString(this.folder.resolve(file), text).toString();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
