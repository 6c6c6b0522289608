package io.burdockpin.runtime.service;

/** Exit statuses of the programs. */
public enum ExitStatus {

	/** Ended normally. */
	SUCCESS(0),

	/** Ended by an internal error. */
	FAILURE(1),

	/** Wrong command line. */
	USAGE(2),

	/** The settings file is invalid. */
	BAD_SETTINGS(3),

	/** An address could not be bound. */
	ADDRESS_UNAVAILABLE(4),

	/** The data folder is missing, not writable or corrupt. */
	STORAGE(5),

	/** Work in flight did not finish before the stop timeout. */
	STOP_TIMED_OUT(6);

	private final int status;

	ExitStatus(int status) {
		this.status = status;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the number that the operating system reports
	 */
	public int status() {
		return this.status;
	}

}
