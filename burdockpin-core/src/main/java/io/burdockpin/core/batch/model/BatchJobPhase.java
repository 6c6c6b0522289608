package io.burdockpin.core.batch.model;

/** Where a job stands. */
public enum BatchJobPhase {

	/** No task has been started yet. */
	QUEUED(false),

	/** At least one task has been started. */
	RUNNING(false),

	/** All tasks are done. */
	COMPLETED(true),

	/** A task has used up its attempts. */
	FAILED(true),

	/** The caller has cancelled the job. */
	CANCELLED(true);

	private final boolean ended;

	BatchJobPhase(boolean ended) {
		this.ended = ended;
	}

	/**
	 * Tells whether the job has ended.
	 * @return whether nothing of it may be started any more
	 */
	public boolean isEnded() {
		return this.ended;
	}

}
