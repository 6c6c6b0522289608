package io.burdockpin.core.exc;

/** A value is malformed or out of range. */
public class InvalidValueException extends BurdockException {

	/**
	 * Creates an exception with code {@link ErrorCode#BAD_REQUEST}.
	 * @param message which value is wrong and what is allowed
	 */
	public InvalidValueException(String message) {
		super(ErrorCode.BAD_REQUEST, message, null);
	}

}
