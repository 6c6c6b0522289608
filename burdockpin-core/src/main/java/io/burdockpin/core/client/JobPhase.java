package io.burdockpin.core.client;

/** What a worker says about a job. */
public enum JobPhase {

	/** Runs. */
	RUNNING,

	/** Ended well; the content is the result. */
	SUCCEEDED,

	/** Ended with an error of its own; the content describes it. */
	FAILED,

	/** Stopped before its end; the content is the checkpoint. */
	STOPPED,

	/** Was refused and certainly never started. */
	NOT_STARTED

}
