package io.burdockpin.codec.exc;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** Thrown when a value cannot be encoded or decoded. */
public final class CodecException extends BurdockException {

	private CodecException(ErrorCode code, String message, Throwable cause) {
		super(code, message, cause);
	}

	/**
	 * Creates an exception for malformed bytes.
	 * @param message what is malformed
	 * @param cause the underlying exception, or {@code null}
	 * @return an exception with code {@link ErrorCode#DECODE_FAILED}
	 */
	public static CodecException malformed(String message, Throwable cause) {
		return new CodecException(ErrorCode.DECODE_FAILED, message, cause);
	}

	/**
	 * Creates an exception for a value that has no encoding, which is a programming
	 * error.
	 * @param message which value cannot be encoded
	 * @param cause the underlying exception, or {@code null}
	 * @return an exception with code {@link ErrorCode#INTERNAL}
	 */
	public static CodecException unsupported(String message, Throwable cause) {
		return new CodecException(ErrorCode.INTERNAL, message, cause);
	}

}
