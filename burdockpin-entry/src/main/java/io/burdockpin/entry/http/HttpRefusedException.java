package io.burdockpin.entry.http;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** An HTTP request is refused before it reaches an actor. */
public class HttpRefusedException extends BurdockException {

	/**
	 * Creates an exception.
	 * @param code the reason
	 * @param message the reason in words
	 * @param cause the error of the layer below, or {@code null}
	 */
	public HttpRefusedException(ErrorCode code, String message, Throwable cause) {
		super(code, message, cause);
	}

}
