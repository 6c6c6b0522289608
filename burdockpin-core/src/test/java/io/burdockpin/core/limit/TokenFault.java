package io.burdockpin.core.limit;

/** Faults injected into the simulated fleet to show that its checks detect them. */
enum TokenFault {

	NONE,

	/** A holder applies grants that do not answer its newest report. */
	STALE_GRANTS_APPLIED,

	/** A holder applies pushed grants that do not answer its newest report. */
	STALE_PUSHES_APPLIED,

	/** A new leader treats all leases as expired. */
	NO_WAIT_AFTER_LEADER_CHANGE,

	/** The tokens of an ended incarnation are released immediately. */
	ENDED_INCARNATION_RELEASED_AT_ONCE,

	/** A running host that was forgotten keeps its tokens beside the new ones. */
	FORGOTTEN_TOKENS_KEPT,

	/** The tokens of a forgotten host are released immediately. */
	FORGOTTEN_INCARNATION_RELEASED_AT_ONCE,

	/** The token of an attempt whose end is not known is released before its deadline. */
	UNKNOWN_END_RELEASED,

	/** The clocks of the entry hosts run at half speed, which exceeds the margin. */
	CLOCK_OUTSIDE_MARGIN

}
