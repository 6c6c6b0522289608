package io.burdockpin.core.retry;

/** Faults injected into the simulated claims to show that the checks detect them. */
enum ClaimFault {

	NONE,

	/** A request whose claim is undecided at the deadline is reported as not run. */
	UNDECIDED_AS_NOT_RUN,

	/** All requests of an entry host use the same claim number. */
	NUMBER_REUSED,

	/** A release releases any claim of its host, whatever its number. */
	RELEASE_OF_ANY_CLAIM

}
