package io.burdockpin.control.storage;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** Thrown when the data folder cannot be used. The member must stop. */
public final class StorageException extends BurdockException {

	private StorageException(ErrorCode code, String message, Throwable cause) {
		super(code, message, cause);
	}

	/**
	 * Creates an exception for a failed read, write or sync.
	 * @param message the operation and its file
	 * @param cause the underlying exception, or {@code null}
	 * @return an exception with code {@link ErrorCode#STORAGE_FAILED}
	 */
	public static StorageException failed(String message, Throwable cause) {
		return new StorageException(ErrorCode.STORAGE_FAILED, message, cause);
	}

	/**
	 * Creates an exception for missing or corrupt content.
	 * @param message the file and the kind or position of the error
	 * @param cause the underlying exception, or {@code null}
	 * @return an exception with code {@link ErrorCode#DATA_CORRUPT}
	 */
	public static StorageException corrupt(String message, Throwable cause) {
		return new StorageException(ErrorCode.DATA_CORRUPT, message, cause);
	}

}
