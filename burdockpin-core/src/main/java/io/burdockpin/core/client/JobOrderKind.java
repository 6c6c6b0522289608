package io.burdockpin.core.client;

/** Kind of an order to a worker about a job. */
public enum JobOrderKind {

	/** Starts the job, from its checkpoint if there is one. */
	START,

	/** Writes a checkpoint and stops the job. */
	STOP,

	/** Writes a checkpoint and continues the job. */
	CHECKPOINT,

	/** Limits the CPU share of the job. */
	THROTTLE,

	/** Discards the job, because the leader has recorded its reported end. */
	FORGET

}
