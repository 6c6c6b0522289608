package io.burdockpin.timeline;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** An event file cannot be read or the result cannot be written. */
public class TimelineException extends BurdockException {

	/**
	 * Creates an exception.
	 * @param code the error code
	 * @param message which file and why
	 * @param cause the error of the layer below, or {@code null}
	 */
	public TimelineException(ErrorCode code, String message, Throwable cause) {
		super(code, message, cause);
	}

}
