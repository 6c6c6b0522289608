package io.burdockpin.runtime.tls;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.util.Checks;

/**
 * Locations of the certificate, the private key and the trusted authorities of a process.
 * All files are in PEM format. Immutable.
 *
 * @param certificateFile the certificate of this host, followed by intermediate
 * certificates; must contain the host as a DNS name
 * @param keyFile its private key, PKCS #8, not encrypted, RSA or EC
 * @param trustFile certificates of the trusted authorities
 * @param checkSeconds interval in seconds at which the files are checked for changes
 * (default 60)
 */
public record TlsSettings(String certificateFile, String keyFile, String trustFile, Integer checkSeconds) {

	private static final int DEFAULT_CHECK_SECONDS = 60;

	private static final int LONGEST_CHECK_SECONDS = 86_400;

	public TlsSettings {
		required("certificateFile", certificateFile);
		required("keyFile", keyFile);
		required("trustFile", trustFile);
		checkSeconds = Checks.range("checkSeconds", (checkSeconds != null) ? checkSeconds : DEFAULT_CHECK_SECONDS, 1,
				LONGEST_CHECK_SECONDS);
	}

	private static void required(String setting, String value) {
		if (value == null || value.isBlank()) {
			throw new InvalidValueException(setting + " is missing");
		}
	}

}
