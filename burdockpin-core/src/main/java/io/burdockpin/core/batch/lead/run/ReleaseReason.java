package io.burdockpin.core.batch.lead.run;

/** Reason why a leader releases a run whose end it does not know. */
public enum ReleaseReason {

	/** No leader has ordered the run. */
	NEVER_ORDERED,

	/** The runner has closed the run and no longer lists it. */
	CLOSED,

	/** The lease of the runner has definitely expired. */
	LEASE_EXPIRED,

	/** The incarnation of the runner has definitely ended. */
	INCARNATION_ENDED

}
