package io.burdockpin.runtime.tls;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.MessageDigest;
import java.security.PrivateKey;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;

import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509TrustManager;

import io.burdockpin.runtime.settings.SettingsException;

/**
 * Certificate, key and trusted authorities as the files held them at one time. Immutable.
 *
 * @param context makes the engines of connections
 * @param hosts the hosts that the certificate names
 * @param notAfter end of the validity of the certificate
 * @param digest changes with the content of the files
 */
public record TlsIdentity(SSLContext context, Set<String> hosts, Instant notAfter, String digest) {

	private static final char[] NO_PASSWORD = {};

	/**
	 * Loads and checks the files.
	 * @param settings where they are
	 * @param host the host that the certificate has to name
	 * @param now the time at which the certificate has to be valid
	 * @return the identity
	 * @throws SettingsException if a file cannot be read, the key does not fit the
	 * certificate, or the certificate is not valid now, names another host or is not
	 * signed by a trusted authority; the message names the file
	 */
	public static TlsIdentity load(TlsSettings settings, String host, Instant now) {
		Contents contents = Contents.read(settings);
		List<X509Certificate> chain = PemFiles.certificates("certificateFile", settings.certificateFile(),
				contents.certificate());
		X509Certificate own = chain.get(0);
		PrivateKey key = matchingKey(settings, own, contents.key());
		checkValidity(settings, own, now);
		Set<String> hosts = CertificateHosts.of(own);
		if (!hosts.contains(host)) {
			throw certificateError(settings, "names the hosts %s, not %s".formatted(hosts, host));
		}
		List<X509Certificate> authorities = PemFiles.certificates("trustFile", settings.trustFile(), contents.trust());
		return new TlsIdentity(context(settings, chain, key, authorities), hosts, own.getNotAfter().toInstant(),
				contents.digest());
	}

	/**
	 * Returns what identifies the present content of the files.
	 * @param settings where they are
	 * @return the digest
	 * @throws SettingsException if a file cannot be read
	 */
	public static String digestOf(TlsSettings settings) {
		return Contents.read(settings).digest();
	}

	/**
	 * Loads trusted authorities only, for a client that presents no certificate.
	 * @param trustFile the PEM file with their certificates
	 * @return the context
	 * @throws SettingsException if the file cannot be read or holds no certificate
	 */
	public static SSLContext trustOnlyContext(String trustFile) {
		byte[] content = PemFiles.read("trustFile", trustFile);
		try {
			SSLContext context = SSLContext.getInstance("TLS");
			context.init(null, trustManagers(PemFiles.certificates("trustFile", trustFile, content)), null);
			return context;
		}
		catch (GeneralSecurityException | IOException ex) {
			throw new SettingsException("tls: trustFile: %s cannot be used: %s".formatted(trustFile, ex), ex);
		}
	}

	// helpers

	private static PrivateKey matchingKey(TlsSettings settings, X509Certificate own, byte[] content) {
		KeyAlgorithm kind = KeyAlgorithm.of(own.getPublicKey())
			.orElseThrow(() -> certificateError(settings,
					"has a key of kind %s, which is not RSA or EC".formatted(own.getPublicKey().getAlgorithm())));
		PrivateKey key = PemFiles.key(settings.keyFile(), content, kind.name());
		if (!kind.matches(key, own.getPublicKey())) {
			throw new SettingsException("tls: keyFile: %s does not fit the certificate in %s"
				.formatted(settings.keyFile(), settings.certificateFile()), null);
		}
		return key;
	}

	private static void checkValidity(TlsSettings settings, X509Certificate own, Instant now) {
		if (now.isAfter(own.getNotAfter().toInstant())) {
			throw certificateError(settings, "expired at " + own.getNotAfter().toInstant());
		}
		if (now.isBefore(own.getNotBefore().toInstant())) {
			throw certificateError(settings, "is not valid before " + own.getNotBefore().toInstant());
		}
	}

	private static SSLContext context(TlsSettings settings, List<X509Certificate> chain, PrivateKey key,
			List<X509Certificate> authorities) {
		try {
			TrustManager[] trust = trustManagers(authorities);
			checkSigned(settings, chain, key, trust);
			KeyStore store = emptyStore();
			store.setKeyEntry("host", key, NO_PASSWORD, chain.toArray(X509Certificate[]::new));
			KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
			keys.init(store, NO_PASSWORD);
			SSLContext context = SSLContext.getInstance("TLS");
			context.init(keys.getKeyManagers(), trust, null);
			return context;
		}
		catch (GeneralSecurityException | IOException ex) {
			throw certificateError(settings, "cannot be used: " + ex);
		}
	}

	private static void checkSigned(TlsSettings settings, List<X509Certificate> chain, PrivateKey key,
			TrustManager[] trust) {
		for (TrustManager manager : trust) {
			try {
				((X509TrustManager) manager).checkClientTrusted(chain.toArray(X509Certificate[]::new),
						key.getAlgorithm());
			}
			catch (CertificateException ex) {
				throw certificateError(settings,
						"is not signed by an authority in %s: %s".formatted(settings.trustFile(), ex.getMessage()));
			}
		}
	}

	private static TrustManager[] trustManagers(List<X509Certificate> authorities)
			throws GeneralSecurityException, IOException {
		KeyStore store = emptyStore();
		for (int index = 0; index < authorities.size(); index++) {
			store.setCertificateEntry("authority-" + index, authorities.get(index));
		}
		TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
		trust.init(store);
		return trust.getTrustManagers();
	}

	private static KeyStore emptyStore() throws GeneralSecurityException, IOException {
		KeyStore store = KeyStore.getInstance("PKCS12");
		store.load(null, NO_PASSWORD);
		return store;
	}

	private static SettingsException certificateError(TlsSettings settings, String reason) {
		return new SettingsException("tls: certificateFile: %s %s".formatted(settings.certificateFile(), reason), null);
	}

	/**
	 * The bytes of the three files.
	 *
	 * @param certificate the certificate file
	 * @param key the key file
	 * @param trust the trust file
	 */
	private record Contents(byte[] certificate, byte[] key, byte[] trust) {

		static Contents read(TlsSettings settings) {
			return new Contents(PemFiles.read("certificateFile", settings.certificateFile()),
					PemFiles.read("keyFile", settings.keyFile()), PemFiles.read("trustFile", settings.trustFile()));
		}

		String digest() {
			try {
				MessageDigest digest = MessageDigest.getInstance("SHA-256");
				for (byte[] content : List.of(this.certificate, this.key, this.trust)) {
					digest.update(Integer.toString(content.length).getBytes(StandardCharsets.US_ASCII));
					digest.update(content);
				}
				return HexFormat.of().formatHex(digest.digest());
			}
			catch (GeneralSecurityException ex) {
				throw new IllegalStateException("every Java platform has SHA-256", ex);
			}
		}

	}

}
