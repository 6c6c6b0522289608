package io.burdockpin.core.model;

/** State of a job. */
public enum JobState {

	/** Accepted, not placed. */
	WAITING(false, false),

	/** Cannot run on any host of its pool; the reason is kept with the job. */
	PARKED(false, false),

	/** Placed on a worker; the start may have been delivered. */
	PLACED(true, false),

	/** The worker has confirmed the start. */
	RUNNING(true, false),

	/** Ended with a result. */
	SUCCEEDED(false, true),

	/** Ended with an error that the job itself reported. */
	FAILED(false, true),

	/** Cancelled by its team or by an operator. */
	CANCELLED(false, true),

	/** Not repeatable and lost after its start may have been delivered. */
	OUTCOME_UNKNOWN(false, true);

	private final boolean holdsCapacity;

	private final boolean ended;

	JobState(boolean holdsCapacity, boolean ended) {
		this.holdsCapacity = holdsCapacity;
		this.ended = ended;
	}

	/**
	 * Tells whether a job in this state counts against its team's upper limit.
	 * @return {@code true} if it may be running
	 */
	public boolean holdsCapacity() {
		return this.holdsCapacity;
	}

	/**
	 * Tells whether the state is final.
	 * @return {@code true} if the job never runs again
	 */
	public boolean ended() {
		return this.ended;
	}

}
