package io.burdockpin.systemtest.fleet;

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
import java.util.Map;

import javax.net.ssl.SSLContext;

import com.google.common.truth.Truth;
import io.burdockpin.runtime.tls.TlsIdentity;

/**
 * Signs certificates with the JDK's {@code keytool} and writes them as PEM files. Owned
 * by one test.
 */
public final class TestAuthority {

	private static final String PASSWORD = "test-password";

	private final Path folder;

	private final String name;

	private final Path store;

	/**
	 * Creates an authority with a key of its own.
	 * @param folder where its files are written
	 * @param name its name
	 */
	public TestAuthority(Path folder, String name) {
		this.folder = folder;
		this.name = name;
		this.store = folder.resolve(name + ".p12");
		generate(name, "-ext", "bc:c", "-validity", "365");
		write(name + "-trust.pem", pem("CERTIFICATE", certificate(name)));
	}

	/**
	 * Writes certificate and key of a host.
	 * @param host the name of the host
	 * @param ip its IP number, for callers
	 * @return the TLS settings
	 */
	public Map<String, Object> sign(String host, String ip) {
		return sign(host, host, ip);
	}

	/**
	 * Writes certificate and key of a host under other names than its own.
	 * @param files how the files are named
	 * @param host the name of the host
	 * @param ip its IP number, for callers
	 * @return the TLS settings
	 */
	public Map<String, Object> sign(String files, String host, String ip) {
		generate(files, "-signer", this.name, "-ext", "san=dns:" + host + ",ip:" + ip);
		return Map.of("certificateFile", write(files + ".pem", pem("CERTIFICATE", certificate(files))), "keyFile",
				write(files + "-key.pem", pem("PRIVATE KEY", key(files))), "trustFile", trustFile(), "checkSeconds", 1);
	}

	/**
	 * Returns the file for those who trust this authority.
	 * @return PEM file with its certificate
	 */
	public String trustFile() {
		return this.folder.resolve(this.name + "-trust.pem").toString();
	}

	/**
	 * Returns a context for callers that trust this authority.
	 * @return the context
	 */
	public SSLContext callerContext() {
		return TlsIdentity.trustOnlyContext(trustFile());
	}

	private void generate(String alias, String... more) {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "keytool").toString(),
						"-J-XX:TieredStopAtLevel=1", "-genkeypair", "-keystore", this.store.toString(), "-storetype",
						"PKCS12", "-storepass", PASSWORD, "-alias", alias, "-keyalg", "EC", "-dname", "CN=" + alias));
		command.addAll(List.of(more));
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

	private static String pem(String what, byte[] encoded) {
		String text = Base64.getMimeEncoder(64, new byte[] { '\n' }).encodeToString(encoded);
		return "-----BEGIN %s-----\n%s\n-----END %s-----\n".formatted(what, text, what);
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
