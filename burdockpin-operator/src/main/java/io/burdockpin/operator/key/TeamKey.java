package io.burdockpin.operator.key;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.regex.Pattern;

import io.burdockpin.core.model.KeyHash;
import io.burdockpin.operator.OperatorException;

/**
 * A team key. Its text form hides the key, so that it is never logged by accident.
 * Immutable.
 */
public final class TeamKey {

	private static final int KEY_BYTES = 32;

	/** Shorter keys could be guessed; other characters do not fit into an HTTP header. */
	private static final Pattern KEY = Pattern.compile("[A-Za-z0-9_.~+/=-]{32,200}");

	private final String key;

	private TeamKey(String key) {
		this.key = key;
	}

	/**
	 * Draws a random key of 256 bits.
	 * @param random the source of randomness
	 * @return the key
	 */
	public static TeamKey draw(SecureRandom random) {
		byte[] bytes = new byte[KEY_BYTES];
		random.nextBytes(bytes);
		return new TeamKey(Base64.getUrlEncoder().withoutPadding().encodeToString(bytes));
	}

	/**
	 * Checks a key that was read.
	 * @param text the text, with or without white space around it
	 * @return the key
	 */
	public static TeamKey parse(String text) {
		String stripped = text.strip();
		if (!KEY.matcher(stripped).matches()) {
			throw OperatorException
				.usage("a key has 32 to 200 letters, digits and _ . ~ + / = -; the given one does not");
		}
		return new TeamKey(stripped);
	}

	/**
	 * Returns the hash that is sent to the entry host.
	 * @return the hash
	 */
	public KeyHash hash() {
		return KeyHash.of(this.key);
	}

	/**
	 * Returns the key itself, to be shown once.
	 * @return the key
	 */
	public String reveal() {
		return this.key;
	}

	@Override
	public String toString() {
		return "TeamKey[" + hash().abbreviated() + "]";
	}

}
