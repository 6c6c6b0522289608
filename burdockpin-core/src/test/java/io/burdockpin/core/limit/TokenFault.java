package io.burdockpin.core.limit;

/** Faults that the simulated fleet plants to see that its check notices them. */
enum TokenFault {

	NONE,

	/** A holder applies grants that do not answer its newest report. */
	STALE_GRANTS_APPLIED,

	/** A holder applies pushed grants that do not answer its newest report. */
	STALE_PUSHES_APPLIED,

	/** A new leader treats leases as lapsed at once. */
	NO_WAIT_AFTER_LEADER_CHANGE,

	/** The tokens of a life that ended are free at once. */
	ENDED_INCARNATION_RELEASED_AT_ONCE,

	/**
	 * A host that was forgotten although it lives keeps its tokens beside the new ones.
	 */
	FORGOTTEN_TOKENS_KEPT,

	/** The tokens of a forgotten host are free at once. */
	FORGOTTEN_INCARNATION_RELEASED_AT_ONCE,

	/** The token of an attempt with an unknown end is free at once. */
	UNKNOWN_END_RELEASED,

	/** The clock of an entry host runs at half speed, which is outside the margin. */
	CLOCK_OUTSIDE_MARGIN

}
