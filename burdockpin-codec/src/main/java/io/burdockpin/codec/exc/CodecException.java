package io.burdockpin.codec.exc;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** A value could not be turned into bytes, or bytes into a value. */
public final class CodecException extends BurdockException {

	private CodecException(ErrorCode code, String message, Throwable cause) {
		super(code, message, cause);
	}

	/**
	 * Creates an exception for malformed bytes.
	 * @param message what is malformed
	 * @param cause the exception of the layer below, or {@code null}
	 * @return an exception with code {@link ErrorCode#DECODE_FAILED}
	 */
	public static CodecException malformed(String message, Throwable cause) {
		return new CodecException(ErrorCode.DECODE_FAILED, message, cause);
	}

	/**
	 * Creates an exception for a value that has no encoding, which is a fault of this
	 * program.
	 * @param message which value
	 * @param cause the exception of the layer below, or {@code null}
	 * @return an exception with code {@link ErrorCode#INTERNAL}
	 */
	public static CodecException unsupported(String message, Throwable cause) {
		return new CodecException(ErrorCode.INTERNAL, message, cause);
	}

}
