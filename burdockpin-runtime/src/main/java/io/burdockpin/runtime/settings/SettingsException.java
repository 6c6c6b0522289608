package io.burdockpin.runtime.settings;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;

/** Thrown when a settings file cannot be read or contains an invalid value. */
public class SettingsException extends BurdockException {

	/**
	 * Creates an exception with code {@link ErrorCode#BAD_SETTINGS}.
	 * @param message file, line, name and reason
	 * @param cause the error of the layer below, or {@code null}
	 */
	public SettingsException(String message, Throwable cause) {
		super(ErrorCode.BAD_SETTINGS, message, cause);
	}

}
