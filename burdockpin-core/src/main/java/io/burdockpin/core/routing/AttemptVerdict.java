package io.burdockpin.core.routing;

/** Conclusion from an attempt about the health of its runner. */
public enum AttemptVerdict {

	/** A complete response without a server error. */
	GOOD(false, false),

	/**
	 * A complete response with status 500. The request may be the cause, so it counts
	 * only in comparison with the other runners.
	 */
	SUSPECT(true, false),

	/** No connection, no complete response, or status 502, 503 or 504. */
	BAD(true, true),

	/** Refused for lack of a free slot, which does not depend on the health. */
	NEUTRAL(false, false);

	private final boolean failed;

	private final boolean runnerFault;

	AttemptVerdict(boolean failed, boolean runnerFault) {
		this.failed = failed;
		this.runnerFault = runnerFault;
	}

	/**
	 * Tells whether the attempt counts as failed in the failure ratio.
	 * @return whether the attempt failed
	 */
	public boolean failed() {
		return this.failed;
	}

	/**
	 * Tells whether the runner itself is known to have caused the failure.
	 * @return whether the attempt counts as a consecutive failure
	 */
	public boolean runnerFault() {
		return this.runnerFault;
	}

}
