package io.burdockpin.core.event;

/** Kinds of events on the time line. */
public enum EventKind {

	/** A process has started. */
	PROCESS_STARTED,

	/** A process begins its graceful stop. */
	PROCESS_STOPPING,

	/** A member became leader. */
	LEADER_ELECTED,

	/** A leader stepped down. */
	LEADER_STEPPED_DOWN,

	/** A member of the control group was added, replaced or removed. */
	MEMBERS_CHANGED,

	/** A configuration command was applied. */
	CONFIGURATION_APPLIED,

	/** A key was withdrawn on this process. */
	KEY_WITHDRAWN,

	/**
	 * A request was accepted. The line of a later event may stand for this one
	 * ({@link EventField#ACCEPTED}).
	 */
	REQUEST_ACCEPTED,

	/** A request was refused by the admission checks. */
	REQUEST_REFUSED,

	/**
	 * An attempt was sent to a runner or to another entry host. The line of its end may
	 * stand for this one ({@link EventField#STARTED}).
	 */
	ATTEMPT_STARTED,

	/** An attempt ended. */
	ATTEMPT_ENDED,

	/**
	 * A request was answered. With {@link EventField#ATTEMPT} the line stands for the end
	 * of that attempt too, which had the same outcome.
	 */
	REQUEST_ANSWERED,

	/** A runner was attached or came back. */
	RUNNER_ATTACHED,

	/** A runner left, was lost or was set aside. */
	RUNNER_REMOVED,

	/** The token counts of a team changed. */
	TOKENS_CHANGED,

	/** A job came with a valid key and was handed on. */
	JOB_SUBMITTED,

	/** A submitted job was not accepted, or it is not known whether it was. */
	JOB_REFUSED,

	/** A job was placed on a worker. */
	JOB_PLACED,

	/** A job was interrupted. */
	JOB_INTERRUPTED,

	/** A job ended. */
	JOB_ENDED,

	/** A host changed its state or pool. */
	HOST_CHANGED,

	/** The leader says which jobs a drain will interrupt, before the drain starts. */
	DRAIN_ANNOUNCED,

	/** A campaign changed its state or finished a host. */
	CAMPAIGN_CHANGED,

	/** A rule that must always hold was seen broken. */
	INVARIANT_BROKEN,

	/**
	 * A run of a task has ended, or was given up because it certainly is not under way.
	 */
	RUN_ENDED,

	/** Where a host stands in a maintenance wave has changed. */
	UPKEEP_CHANGED,

	/** A call was answered with something else than what it asked for. */
	CALL_REFUSED,

	/** The leader was found or lost by a process that calls it. */
	LEADER_CONTACT_CHANGED,

	/** What a leader has done in the last second and how late it was. */
	LEADER_LOAD,

	/** Events were left out because there were too many. */
	EVENTS_DROPPED

}
