package io.burdockpin.entry;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** An unrecoverable failure of a component of the entry program. */
public class EntryException extends BurdockException {

	/**
	 * Creates an exception with code {@link ErrorCode#INTERNAL}.
	 * @param message which component failed
	 * @param cause the failure of the component
	 */
	public EntryException(String message, Throwable cause) {
		super(ErrorCode.INTERNAL, message, cause);
	}

}
