package io.burdockpin.operator;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** The operator's wish could not be carried out. */
public class OperatorException extends BurdockException {

	private final OperatorExit exit;

	/**
	 * Creates an exception.
	 * @param exit the exit status
	 * @param code the error code
	 * @param message what failed and what to do
	 * @param cause the error of the layer below, or {@code null}
	 */
	public OperatorException(OperatorExit exit, ErrorCode code, String message, Throwable cause) {
		super(code, message, cause);
		this.exit = exit;
	}

	/**
	 * Creates an exception about a wrong value on the command line.
	 * @param message what is wrong
	 * @return the exception
	 */
	public static OperatorException usage(String message) {
		return new OperatorException(OperatorExit.USAGE, ErrorCode.BAD_REQUEST, message, null);
	}

	/**
	 * Returns the exit status.
	 * @return the exit status
	 */
	public OperatorExit getExit() {
		return this.exit;
	}

}
