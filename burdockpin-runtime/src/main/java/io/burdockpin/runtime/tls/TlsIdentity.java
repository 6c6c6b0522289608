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
 * Snapshot of the certificate, key and trusted authorities in the files. Immutable.
 *
 * @param context creates the engines of connections
 * @param hosts the hosts that the certificate names
 * @param notAfter expiry time of the certificate
 * @param digest SHA-256 digest of the contents of the files
 */
public record TlsIdentity(SSLContext context, Set<String> hosts, Instant notAfter, String digest) {

	private static final char[] NO_PASSWORD = {};

	/**
	 * Loads and validates the files.
	 * @param settings the locations of the files
	 * @param host the host that the certificate must name
	 * @param now the time at which the certificate must be valid
	 * @return the identity
	 * @throws SettingsException if a file cannot be read, the key does not match the
	 * certificate, or the certificate is not valid now, names another host or is not
	 * signed by a trusted authority; the message names the file
	 */
	public static TlsIdentity load(TlsSettings settings, String host, Instant now) {
		FileContents contents = FileContents.read(settings);
		List<X509Certificate> chain = PemFiles.certificates("certificateFile", settings.certificateFile(),
				contents.certificate());
		X509Certificate certificate = chain.get(0);
		PrivateKey key = matchingKey(settings, certificate, contents.key());
		checkValidity(settings, certificate, now);
		Set<String> hosts = CertificateHosts.of(certificate);
		if (!hosts.contains(host)) {
			throw certificateError(settings, "names the hosts %s, not %s".formatted(hosts, host));
		}
		List<X509Certificate> authorities = PemFiles.certificates("trustFile", settings.trustFile(), contents.trust());
		return new TlsIdentity(context(settings, chain, key, authorities), hosts, certificate.getNotAfter().toInstant(),
				contents.digest());
	}

	/**
	 * Returns the digest of the current contents of the files.
	 * @param settings the locations of the files
	 * @return the digest in hexadecimal
	 * @throws SettingsException if a file cannot be read
	 */
	public static String digestOf(TlsSettings settings) {
		return FileContents.read(settings).digest();
	}

	/**
	 * Loads trusted authorities only, for a client that presents no certificate.
	 * @param trustFile the PEM file with their certificates
	 * @return the context
	 * @throws SettingsException if the file cannot be read or contains no certificate
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

	private static PrivateKey matchingKey(TlsSettings settings, X509Certificate certificate, byte[] content) {
		KeyAlgorithm algorithm = KeyAlgorithm.of(certificate.getPublicKey())
			.orElseThrow(() -> certificateError(settings, "has a key of type %s, which is not RSA or EC"
				.formatted(certificate.getPublicKey().getAlgorithm())));
		PrivateKey key = PemFiles.key(settings.keyFile(), content, algorithm.name());
		if (!algorithm.matches(key, certificate.getPublicKey())) {
			throw new SettingsException("tls: keyFile: %s does not match the certificate in %s"
				.formatted(settings.keyFile(), settings.certificateFile()), null);
		}
		return key;
	}

	private static void checkValidity(TlsSettings settings, X509Certificate certificate, Instant now) {
		if (now.isAfter(certificate.getNotAfter().toInstant())) {
			throw certificateError(settings, "expired at " + certificate.getNotAfter().toInstant());
		}
		if (now.isBefore(certificate.getNotBefore().toInstant())) {
			throw certificateError(settings, "is not valid before " + certificate.getNotBefore().toInstant());
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
	private record FileContents(byte[] certificate, byte[] key, byte[] trust) {

		static FileContents read(TlsSettings settings) {
			return new FileContents(PemFiles.read("certificateFile", settings.certificateFile()),
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
				throw new IllegalStateException("SHA-256 is not available", ex);
			}
		}

	}

}
