package io.burdockpin.entry.router;

/** HTTP headers between callers, entry hosts and runners. */
public enum BurdockHeader {

	/** Number of the attempt; the runner repeats it. */
	ATTEMPT("Burdock-Attempt"),

	/** The queue. */
	QUEUE("Burdock-Queue"),

	/** Identifier of the request. */
	REQUEST_ID("Burdock-Request-Id"),

	/** Time left in milliseconds. */
	DEADLINE_MILLIS("Burdock-Deadline-Ms"),

	/** Deadline by the clock that the runner announced, in milliseconds. */
	RUNNER_DEADLINE_MILLIS("Burdock-Runner-Deadline-Ms"),

	/** Set by a runner that refused before the start. */
	NOT_RUN("Burdock-Not-Run"),

	/** Key of the team. */
	KEY("Burdock-Key"),

	/** Whether the request may run more than once. */
	REPEATABLE("Burdock-Repeatable"),

	/** How long the caller waits, in milliseconds. */
	TIMEOUT_MILLIS("Burdock-Timeout-Ms");

	private final String headerName;

	BurdockHeader(String headerName) {
		this.headerName = headerName;
	}

	/**
	 * Returns the name in HTTP messages.
	 * @return the name
	 */
	public String headerName() {
		return this.headerName;
	}

}
