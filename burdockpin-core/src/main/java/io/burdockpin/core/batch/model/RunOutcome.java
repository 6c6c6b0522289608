package io.burdockpin.core.batch.model;

/** How a run of a task has ended. */
public enum RunOutcome {

	/** The task is done. */
	DONE(true, false),

	/** The task or its runner failed. */
	FAILED(false, true),

	/** It was stopped by an order. */
	STOPPED(false, false),

	/** The lease of the runner ended. */
	LAPSED(false, false),

	/** Another member of its gang ended. */
	BROKEN(false, false),

	/** The other members of its gang did not come in time. */
	ALONE(false, false);

	private final boolean done;

	private final boolean countsAsAttempt;

	RunOutcome(boolean done, boolean countsAsAttempt) {
		this.done = done;
		this.countsAsAttempt = countsAsAttempt;
	}

	/**
	 * Tells whether the work is complete.
	 * @return whether the task need not run again
	 */
	public boolean isDone() {
		return this.done;
	}

	/**
	 * Tells whether the end uses up an attempt.
	 * @return whether it counts against the attempts of the queue
	 */
	public boolean countsAsAttempt() {
		return this.countsAsAttempt;
	}

}
