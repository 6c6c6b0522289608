package io.burdockpin.core.retry;

/** Faults that the simulated claims plant to see that their checks notice them. */
enum ClaimFault {

	NONE,

	/** A claim that is undecided at the deadline is answered as not run. */
	UNDECIDED_AS_NOT_RUN,

	/** All requests of an entry host claim with the same number. */
	NUMBER_REUSED,

	/** A release gives back whatever claim its host holds. */
	RELEASE_OF_ANY_CLAIM

}
