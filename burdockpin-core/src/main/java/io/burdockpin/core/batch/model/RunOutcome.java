package io.burdockpin.core.batch.model;

/** How a run of a task ended. */
public enum RunOutcome {

	/** The task completed. */
	DONE(true, false),

	/** The task or its runner failed. */
	FAILED(false, true),

	/** The run was stopped by an order of the leader. */
	STOPPED(false, false),

	/** The lease of the runner expired. */
	LAPSED(false, false),

	/** Another task of the same gang ended before this one. */
	BROKEN(false, false),

	/** The other tasks of the same gang were not started in time. */
	ALONE(false, false);

	private final boolean done;

	private final boolean countsAsAttempt;

	RunOutcome(boolean done, boolean countsAsAttempt) {
		this.done = done;
		this.countsAsAttempt = countsAsAttempt;
	}

	/**
	 * Tells whether the task completed.
	 * @return whether the task does not have to run again
	 */
	public boolean isDone() {
		return this.done;
	}

	/**
	 * Tells whether the run counts as a failed attempt.
	 * @return whether it counts towards {@link BatchQueue#maximumAttempts()}
	 */
	public boolean countsAsAttempt() {
		return this.countsAsAttempt;
	}

}
