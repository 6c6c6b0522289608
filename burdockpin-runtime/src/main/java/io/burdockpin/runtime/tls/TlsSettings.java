package io.burdockpin.runtime.tls;

import io.burdockpin.core.exc.InvalidValueException;

/**
 * Where a process finds its certificate and the certificates it trusts. Immutable.
 *
 * @param keyStoreFile PKCS #12 file with the private key and certificate; the certificate
 * names the IP number of the host
 * @param keyStorePasswordFile file with its password
 * @param trustStoreFile PKCS #12 file with the certificates of trusted authorities
 * @param trustStorePasswordFile file with its password
 */
public record TlsSettings(String keyStoreFile, String keyStorePasswordFile, String trustStoreFile,
		String trustStorePasswordFile) {

	public TlsSettings {
		required("keyStoreFile", keyStoreFile);
		required("keyStorePasswordFile", keyStorePasswordFile);
		required("trustStoreFile", trustStoreFile);
		required("trustStorePasswordFile", trustStorePasswordFile);
	}

	private static void required(String what, String value) {
		if (value == null || value.isBlank()) {
			throw new InvalidValueException(what + " is missing");
		}
	}

}
