package io.burdockpin.core.exc;

/** Thrown if a value is malformed or out of range. */
public class InvalidValueException extends BurdockException {

	/**
	 * Creates an exception with code {@link ErrorCode#BAD_REQUEST}.
	 * @param message names the invalid value and the allowed ones
	 */
	public InvalidValueException(String message) {
		super(ErrorCode.BAD_REQUEST, message, null);
	}

}
