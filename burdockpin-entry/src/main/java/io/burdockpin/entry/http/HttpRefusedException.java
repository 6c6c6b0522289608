package io.burdockpin.entry.http;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** Refuses an HTTP request with an error code that is sent to the caller. */
public class HttpRefusedException extends BurdockException {

	/**
	 * Creates an exception.
	 * @param code the error code of the response
	 * @param message the explanation in the response
	 * @param cause the underlying error, or {@code null}
	 */
	public HttpRefusedException(ErrorCode code, String message, Throwable cause) {
		super(code, message, cause);
	}

}
