package io.burdockpin.core.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

import io.burdockpin.core.exc.InvalidValueException;

/**
 * SHA-256 hash of a team key. Keys are random 256-bit values, so an unsalted hash cannot
 * be reversed by guessing.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record KeyHash(String hex) implements Comparable<KeyHash> {

	private static final Pattern HEX = Pattern.compile("[0-9a-f]{64}");

	public KeyHash {
		if (hex == null || !HEX.matcher(hex).matches()) {
			throw new InvalidValueException("a key hash has 64 lower-case hexadecimal digits");
		}
	}

	/**
	 * Hashes a key.
	 * @param key the key as the caller sends it
	 * @return the hash of its UTF-8 bytes
	 */
	public static KeyHash of(String key) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			return new KeyHash(HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8))));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing", ex);
		}
	}

	@Override
	public int compareTo(KeyHash other) {
		return this.hex.compareTo(other.hex);
	}

	/**
	 * Returns a short form that identifies a key in logs without disclosing it.
	 * @return the first 8 digits
	 */
	public String abbreviated() {
		return this.hex.substring(0, 8);
	}

	@Override
	public String toString() {
		return abbreviated();
	}

}
