package io.burdockpin.entry.router;

/** HTTP headers exchanged between callers, entry hosts and runners. */
public enum BurdockHeader {

	/** Number of the attempt; the runner echoes it in the response. */
	ATTEMPT("Burdock-Attempt"),

	/** Name of the queue. */
	QUEUE("Burdock-Queue"),

	/** Identifier of the request. */
	REQUEST_ID("Burdock-Request-Id"),

	/** Time until the deadline in milliseconds. */
	DEADLINE_MILLIS("Burdock-Deadline-Ms"),

	/** Deadline in milliseconds by the clock that the runner announced. */
	RUNNER_DEADLINE_MILLIS("Burdock-Runner-Deadline-Ms"),

	/** Set by a runner that refused a request before running it. */
	NOT_RUN("Burdock-Not-Run"),

	/** Secret key of the team. */
	KEY("Burdock-Key"),

	/** Whether the request may run more than once. */
	REPEATABLE("Burdock-Repeatable"),

	/** Timeout of the caller in milliseconds. */
	TIMEOUT_MILLIS("Burdock-Timeout-Ms");

	private final String headerName;

	BurdockHeader(String headerName) {
		this.headerName = headerName;
	}

	/**
	 * Returns the name of the header.
	 * @return the name as it is sent
	 */
	public String headerName() {
		return this.headerName;
	}

}
