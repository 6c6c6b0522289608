package io.burdockpin.runtime.service;

/** Exit statuses of the programs. */
public enum ExitStatus {

	/** Ended as asked. */
	SUCCESS(0),

	/** Ended by an internal error. */
	FAILURE(1),

	/** Wrong command line. */
	USAGE(2),

	/** The settings file was refused. */
	BAD_SETTINGS(3),

	/** An address could not be bound. */
	ADDRESS_UNAVAILABLE(4),

	/** The data folder is missing, not writable or corrupt. */
	STORAGE(5),

	/** The work in flight did not end before the stop deadline. */
	STOP_TIMED_OUT(6);

	private final int status;

	ExitStatus(int status) {
		this.status = status;
	}

	/**
	 * Returns the number the process ends with.
	 * @return the exit status
	 */
	public int status() {
		return this.status;
	}

}
