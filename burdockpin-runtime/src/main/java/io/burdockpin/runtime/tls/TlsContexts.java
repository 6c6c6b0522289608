package io.burdockpin.runtime.tls;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;

import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

import io.burdockpin.runtime.settings.SettingsException;

/** Builds TLS contexts. */
public final class TlsContexts {

	private TlsContexts() {
	}

	/**
	 * Loads the key and trust stores.
	 * @param settings where they are
	 * @return the context
	 * @throws SettingsException if a file cannot be read or a password is wrong; the
	 * message names the file but no password
	 */
	public static SSLContext load(TlsSettings settings) {
		try {
			char[] keyPassword = password(settings.keyStorePasswordFile());
			KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
			keys.init(store(settings.keyStoreFile(), keyPassword), keyPassword);
			TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
			trust.init(store(settings.trustStoreFile(), password(settings.trustStorePasswordFile())));
			SSLContext context = SSLContext.getInstance("TLS");
			context.init(keys.getKeyManagers(), trust.getTrustManagers(), null);
			return context;
		}
		catch (GeneralSecurityException ex) {
			throw new SettingsException("tls: %s cannot be used: %s".formatted(settings.keyStoreFile(), ex), ex);
		}
	}

	private static KeyStore store(String file, char[] password) throws GeneralSecurityException {
		try (InputStream input = Files.newInputStream(Path.of(file))) {
			KeyStore store = KeyStore.getInstance("PKCS12");
			store.load(input, password);
			return store;
		}
		catch (IOException ex) {
			throw new SettingsException("tls: %s cannot be read: %s".formatted(file, ex.getMessage()), ex);
		}
	}

	private static char[] password(String file) {
		try {
			return Files.readString(Path.of(file)).strip().toCharArray();
		}
		catch (IOException ex) {
			throw new SettingsException("tls: %s cannot be read: %s".formatted(file, ex.getMessage()), ex);
		}
	}

}
