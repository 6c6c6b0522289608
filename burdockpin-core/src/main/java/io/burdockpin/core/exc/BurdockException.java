package io.burdockpin.core.exc;

import java.util.Objects;

/**
 * Base class of the exceptions of this project. Every layer throws its own subclass and
 * translates the exceptions of the layer below. Immutable.
 */
public abstract class BurdockException extends RuntimeException {

	private final transient ErrorCode code;

	/**
	 * Creates an exception.
	 * @param code error code for callers and operators
	 * @param message the error message; must not contain secrets
	 * @param cause the exception of the layer below, or {@code null}
	 */
	protected BurdockException(ErrorCode code, String message, Throwable cause) {
		super(message, cause);
		this.code = Objects.requireNonNull(code, "code");
	}

	/**
	 * Returns the error code.
	 * @return the code, the same in all versions
	 */
	public ErrorCode getCode() {
		return this.code;
	}

}
