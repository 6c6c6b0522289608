package io.burdockpin.runtime.service;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** A program or service could not start. */
public class StartupException extends BurdockException {

	private final ExitStatus exitStatus;

	/**
	 * Creates an exception.
	 * @param exitStatus the exit status of the program
	 * @param code the error code
	 * @param message what failed
	 * @param cause the error of the layer below, or {@code null}
	 */
	public StartupException(ExitStatus exitStatus, ErrorCode code, String message, Throwable cause) {
		super(code, message, cause);
		this.exitStatus = exitStatus;
	}

	/**
	 * Returns the exit status of the program.
	 * @return the exit status
	 */
	public ExitStatus getExitStatus() {
		return this.exitStatus;
	}

}
