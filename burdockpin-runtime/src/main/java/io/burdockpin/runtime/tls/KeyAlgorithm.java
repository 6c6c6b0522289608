package io.burdockpin.runtime.tls;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.util.Arrays;
import java.util.Optional;

/** Supported key algorithms of certificates. */
enum KeyAlgorithm {

	/** RSA. */
	RSA("SHA256withRSA"),

	/** Elliptic-curve cryptography. */
	EC("SHA256withECDSA");

	private final String signatureAlgorithm;

	KeyAlgorithm(String signatureAlgorithm) {
		this.signatureAlgorithm = signatureAlgorithm;
	}

	static Optional<KeyAlgorithm> of(PublicKey key) {
		return Arrays.stream(values()).filter((algorithm) -> algorithm.name().equals(key.getAlgorithm())).findFirst();
	}

	/**
	 * Returns whether a private and a public key form a pair.
	 * @param privateKey the private key
	 * @param publicKey the public key
	 * @return {@code true} if the public key verifies a signature of the private key
	 */
	boolean matches(PrivateKey privateKey, PublicKey publicKey) {
		byte[] sample = "sample".getBytes(StandardCharsets.US_ASCII);
		try {
			Signature signer = Signature.getInstance(this.signatureAlgorithm);
			signer.initSign(privateKey);
			signer.update(sample);
			byte[] signed = signer.sign();
			Signature verifier = Signature.getInstance(this.signatureAlgorithm);
			verifier.initVerify(publicKey);
			verifier.update(sample);
			return verifier.verify(signed);
		}
		catch (GeneralSecurityException ex) {
			return false;
		}
	}

}
