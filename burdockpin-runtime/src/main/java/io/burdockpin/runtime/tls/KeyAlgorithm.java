package io.burdockpin.runtime.tls;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.util.Arrays;
import java.util.Optional;

/** Kinds of keys that certificates may have. */
enum KeyAlgorithm {

	/** RSA. */
	RSA("SHA256withRSA"),

	/** Elliptic curves. */
	EC("SHA256withECDSA");

	private final String signature;

	KeyAlgorithm(String signature) {
		this.signature = signature;
	}

	static Optional<KeyAlgorithm> of(PublicKey key) {
		return Arrays.stream(values()).filter((kind) -> kind.name().equals(key.getAlgorithm())).findFirst();
	}

	/**
	 * Tells whether a private and a public key belong together.
	 * @param privateKey the private key
	 * @param publicKey the public key
	 * @return whether what the one signs is verified by the other
	 */
	boolean matches(PrivateKey privateKey, PublicKey publicKey) {
		byte[] sample = "sample".getBytes(StandardCharsets.US_ASCII);
		try {
			Signature signer = Signature.getInstance(this.signature);
			signer.initSign(privateKey);
			signer.update(sample);
			byte[] signed = signer.sign();
			Signature verifier = Signature.getInstance(this.signature);
			verifier.initVerify(publicKey);
			verifier.update(sample);
			return verifier.verify(signed);
		}
		catch (GeneralSecurityException ex) {
			return false;
		}
	}

}
