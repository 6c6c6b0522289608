package io.burdockpin.core.routing;

/** Faults that the simulation of the request path can be told to make. */
enum InjectedFault {

	/** None. */
	NONE,

	/** Frees the slot of an attempt whose outcome is unknown. */
	FREES_SLOT_OF_UNKNOWN_ATTEMPT,

	/** Retries requests as if all were repeatable. */
	RETRIES_REQUESTS_THAT_ARE_NOT_REPEATABLE,

	/** Reports a lost answer as an attempt that did not run. */
	REPORTS_LOST_ANSWER_AS_NOT_RUN,

	/** Does not tell requests that expired in the queue. */
	FORGETS_EXPIRED_REQUESTS

}
