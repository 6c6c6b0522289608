package io.burdockpin.core.model;

/** State of a job. */
public enum JobState {

	/** Accepted and waiting for placement. */
	WAITING(false, false),

	/** Fits no host of its pool; the reason is stored with the job. */
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

	/**
	 * Lost after its start may have been delivered; not started again because it is not
	 * repeatable.
	 */
	OUTCOME_UNKNOWN(false, true);

	private final boolean holdsCapacity;

	private final boolean ended;

	JobState(boolean holdsCapacity, boolean ended) {
		this.holdsCapacity = holdsCapacity;
		this.ended = ended;
	}

	/**
	 * Returns whether a job in this state counts against the upper limit of its team.
	 * @return {@code true} if the job may be running
	 */
	public boolean holdsCapacity() {
		return this.holdsCapacity;
	}

	/**
	 * Returns whether the state is final.
	 * @return {@code true} if the job never runs again
	 */
	public boolean ended() {
		return this.ended;
	}

}
