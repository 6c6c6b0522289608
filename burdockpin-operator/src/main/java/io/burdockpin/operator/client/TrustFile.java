package io.burdockpin.operator.client;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;

import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.operator.OperatorException;
import io.burdockpin.operator.OperatorExit;

/** Reads the authorities that certificates of entry hosts must be signed by. */
public final class TrustFile {

	private TrustFile() {
	}

	/**
	 * Reads a PEM file.
	 * @param file the file
	 * @return a context that trusts these authorities only
	 * @throws OperatorException if the file cannot be read or holds no certificate
	 */
	public static SSLContext load(String file) {
		try (InputStream input = Files.newInputStream(Path.of(file))) {
			KeyStore store = KeyStore.getInstance("PKCS12");
			store.load(null, null);
			for (Certificate authority : CertificateFactory.getInstance("X.509").generateCertificates(input)) {
				store.setCertificateEntry("authority-" + store.size(), authority);
			}
			if (store.size() == 0) {
				throw new IOException("no certificate in it");
			}
			TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
			trust.init(store);
			SSLContext context = SSLContext.getInstance("TLS");
			context.init(null, trust.getTrustManagers(), null);
			return context;
		}
		catch (IOException | GeneralSecurityException ex) {
			throw new OperatorException(OperatorExit.LOCAL_FILE, ErrorCode.STORAGE_FAILED,
					"trust file %s cannot be used: %s".formatted(file, ex), ex);
		}
	}

}
