package io.burdockpin.runtime.tls;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** Thrown when the peer of a connection cannot be trusted. */
public class TlsException extends BurdockException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception with code {@link ErrorCode#CONNECTION_FAILED}.
	 * @param message what is wrong with the peer
	 * @param cause the error of the layer below, or {@code null}
	 */
	public TlsException(String message, Throwable cause) {
		super(ErrorCode.CONNECTION_FAILED, message, cause);
	}

}
