package io.burdockpin.core.exc;

import java.util.Objects;

/**
 * Base of the exception family. Every layer throws its own subclass and translates the
 * exceptions of the layer below. Instances are immutable.
 */
public abstract class BurdockException extends RuntimeException {

	private final transient ErrorCode code;

	/**
	 * Creates an exception.
	 * @param code the stable code that callers and operators see
	 * @param message the message, without secrets
	 * @param cause the exception of the layer below, or {@code null}
	 */
	protected BurdockException(ErrorCode code, String message, Throwable cause) {
		super(message, cause);
		this.code = Objects.requireNonNull(code, "code");
	}

	/**
	 * Returns the stable code of this error.
	 * @return the code
	 */
	public ErrorCode getCode() {
		return this.code;
	}

}
