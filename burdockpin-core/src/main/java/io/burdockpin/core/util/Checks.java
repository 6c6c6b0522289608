package io.burdockpin.core.util;

import java.util.regex.Pattern;

import io.burdockpin.core.exc.InvalidValueException;

/** Argument checks that throw {@link InvalidValueException}. */
public final class Checks {

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,62}");

	private Checks() {
	}

	/**
	 * Checks that a name consists of 1 to 63 letters, digits, dots, underscores, colons
	 * or hyphens and starts with a letter or digit.
	 * @param subject kind of the named object, for the error message
	 * @param value the name to check
	 * @return the name
	 */
	public static String name(String subject, String value) {
		if (value == null) {
			throw new InvalidValueException(subject + " name is missing");
		}
		if (!NAME.matcher(value).matches()) {
			throw new InvalidValueException(
					"%s name \"%s\" must have 1 to 63 letters, digits or . _ : - and start with a letter or digit"
						.formatted(subject, abbreviated(value)));
		}
		return value;
	}

	/**
	 * Checks that a {@code long} is in a range.
	 * @param valueName name of the value with its unit, for the error message
	 * @param value the value to check
	 * @param minimum the smallest allowed value
	 * @param maximum the largest allowed value
	 * @return the value
	 */
	public static long range(String valueName, long value, long minimum, long maximum) {
		if (value < minimum || value > maximum) {
			throw new InvalidValueException(
					"%s is %d but must be from %d to %d".formatted(valueName, value, minimum, maximum));
		}
		return value;
	}

	/**
	 * Checks that an {@code int} is in a range.
	 * @param valueName name of the value with its unit, for the error message
	 * @param value the value to check
	 * @param minimum the smallest allowed value
	 * @param maximum the largest allowed value
	 * @return the value
	 */
	public static int range(String valueName, int value, int minimum, int maximum) {
		return (int) range(valueName, (long) value, minimum, maximum);
	}

	private static String abbreviated(String value) {
		if (value.length() <= 80) {
			return value;
		}
		return value.substring(0, 80) + "...";
	}

}
