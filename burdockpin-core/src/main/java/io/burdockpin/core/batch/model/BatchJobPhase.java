package io.burdockpin.core.batch.model;

/** Life-cycle phase of a batch job. */
public enum BatchJobPhase {

	/** No runner has started a task yet. */
	QUEUED(false),

	/** At least one task has been started by a runner. */
	RUNNING(false),

	/** All tasks are done. */
	COMPLETED(true),

	/** A task has failed as often as its queue allows. */
	FAILED(true),

	/** The caller has cancelled the job. */
	CANCELLED(true);

	private final boolean ended;

	BatchJobPhase(boolean ended) {
		this.ended = ended;
	}

	/**
	 * Tells whether the phase is final.
	 * @return whether no task of the job may be started any more
	 */
	public boolean isEnded() {
		return this.ended;
	}

}
