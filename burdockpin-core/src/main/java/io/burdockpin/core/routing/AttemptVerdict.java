package io.burdockpin.core.routing;

/** What an attempt says about the health of its runner. */
public enum AttemptVerdict {

	/** A complete answer without a server error. */
	GOOD(false, false),

	/**
	 * A complete answer with status 500. It may be caused by the request, so it counts
	 * only in comparison with the other runners.
	 */
	SUSPECT(true, false),

	/** No connection, no complete answer, or status 502, 503 or 504. */
	BAD(true, true),

	/** Refused for lack of a free slot; says nothing about the health. */
	NEUTRAL(false, false);

	private final boolean failed;

	private final boolean runnerFault;

	AttemptVerdict(boolean failed, boolean certain) {
		this.failed = failed;
		this.runnerFault = certain;
	}

	/**
	 * Tells whether the attempt counts in the failure ratio.
	 * @return whether it failed
	 */
	public boolean failed() {
		return this.failed;
	}

	/**
	 * Tells whether the failure is the runner's own.
	 * @return whether it counts as consecutive failure
	 */
	public boolean runnerFault() {
		return this.runnerFault;
	}

}
