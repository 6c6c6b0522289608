package io.burdockpin.control.storage;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** The data folder cannot be used. The member must stop. */
public final class StorageException extends BurdockException {

	private StorageException(ErrorCode code, String message, Throwable cause) {
		super(code, message, cause);
	}

	/**
	 * Creates an exception for a failed read, write or sync.
	 * @param message which file and operation
	 * @param cause the exception of the layer below, or {@code null}
	 * @return an exception with code {@link ErrorCode#STORAGE_FAILED}
	 */
	public static StorageException failed(String message, Throwable cause) {
		return new StorageException(ErrorCode.STORAGE_FAILED, message, cause);
	}

	/**
	 * Creates an exception for content that cannot have been written so.
	 * @param message which file and where
	 * @param cause the exception of the layer below, or {@code null}
	 * @return an exception with code {@link ErrorCode#DATA_CORRUPT}
	 */
	public static StorageException corrupt(String message, Throwable cause) {
		return new StorageException(ErrorCode.DATA_CORRUPT, message, cause);
	}

}
