package io.burdockpin.core.client;

/** Phase of a job as reported by a worker. */
public enum JobPhase {

	/** The job is running. */
	RUNNING,

	/** The job succeeded. The content is the result. */
	SUCCEEDED,

	/** The job failed with an error of its own. The content describes the error. */
	FAILED,

	/** The job was stopped before it completed. The content is the checkpoint. */
	STOPPED,

	/** The worker rejected the job, which certainly was not started. */
	NOT_STARTED

}
