package io.burdockpin.core.client;

/** What a worker is told to do with a job. */
public enum JobOrderKind {

	/** Start it, from its checkpoint if there is one. */
	START,

	/** Write a checkpoint and stop it. */
	STOP,

	/** Write a checkpoint and go on. */
	CHECKPOINT,

	/** Limit its processor share. */
	THROTTLE,

	/** The leader has recorded the reported end; the worker may forget the job. */
	FORGET

}
