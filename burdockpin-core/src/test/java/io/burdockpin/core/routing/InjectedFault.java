package io.burdockpin.core.routing;

/** Faults that can be injected into the simulation of the request path. */
enum InjectedFault {

	/** No fault. */
	NONE,

	/** Frees the slot of an attempt whose outcome is unknown. */
	FREES_SLOT_OF_UNKNOWN_ATTEMPT,

	/** Retries all requests as if they were repeatable. */
	RETRIES_REQUESTS_THAT_ARE_NOT_REPEATABLE,

	/** Reports an attempt with a lost response as not run. */
	REPORTS_LOST_RESPONSE_AS_NOT_RUN,

	/** Does not refuse requests that expire in the queue. */
	IGNORES_EXPIRED_REQUESTS

}
