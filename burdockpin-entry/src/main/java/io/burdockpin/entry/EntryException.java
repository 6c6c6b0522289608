package io.burdockpin.entry;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** A part of the entry program has failed for good. */
public class EntryException extends BurdockException {

	/**
	 * Creates an exception with code {@link ErrorCode#INTERNAL}.
	 * @param message which part failed
	 * @param cause its failure
	 */
	public EntryException(String message, Throwable cause) {
		super(ErrorCode.INTERNAL, message, cause);
	}

}
