package io.burdockpin.core.state;

/** Who asks for a change of a host's state. */
public enum ChangeCause {

	/** An operator. */
	OPERATOR,

	/** The maintenance planner. */
	PLANNER,

	/** A report of the worker, or the lack of one. */
	WORKER_REPORT

}
