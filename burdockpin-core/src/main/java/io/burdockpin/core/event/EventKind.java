package io.burdockpin.core.event;

/** Kind of an {@link Event}. */
public enum EventKind {

	/** A process started. */
	PROCESS_STARTED,

	/** A process started its graceful shutdown. */
	PROCESS_STOPPING,

	/** A member became leader. */
	LEADER_ELECTED,

	/** A leader stepped down. */
	LEADER_STEPPED_DOWN,

	/** A member of the control group was added, replaced or removed. */
	MEMBERS_CHANGED,

	/** A configuration command was applied. */
	CONFIGURATION_APPLIED,

	/** A withdrawn key is no longer accepted by this process. */
	KEY_WITHDRAWN,

	/**
	 * A request was accepted. May be omitted if a later event of the request has
	 * {@link EventField#ACCEPTED}.
	 */
	REQUEST_ACCEPTED,

	/** A request was rejected by the admission checks. */
	REQUEST_REFUSED,

	/**
	 * An attempt was sent to a runner or to another entry host. May be omitted if the
	 * event of its end has {@link EventField#STARTED}.
	 */
	ATTEMPT_STARTED,

	/** An attempt ended. */
	ATTEMPT_ENDED,

	/**
	 * A request was answered. With {@link EventField#ATTEMPT}, the event also represents
	 * the end of that attempt with the same outcome.
	 */
	REQUEST_ANSWERED,

	/** A runner was attached or reconnected. */
	RUNNER_ATTACHED,

	/** A late announcement of a runner had no effect, because a later one is known. */
	ANNOUNCEMENT_OUTDATED,

	/** A runner left, was lost or was excluded from routing. */
	RUNNER_REMOVED,

	/** The token counts of a team changed. */
	TOKENS_CHANGED,

	/** A job was submitted with a valid key. */
	JOB_SUBMITTED,

	/** A submitted job was not accepted, or it is unknown whether it was. */
	JOB_REFUSED,

	/** A job was placed on a worker. */
	JOB_PLACED,

	/** A job was interrupted. */
	JOB_INTERRUPTED,

	/** A job ended. */
	JOB_ENDED,

	/** A host changed its state or pool. */
	HOST_CHANGED,

	/** The leader announced the jobs that an upcoming drain will interrupt. */
	DRAIN_ANNOUNCED,

	/** A campaign changed its state or completed a host. */
	CAMPAIGN_CHANGED,

	/** An invariant was violated. */
	INVARIANT_BROKEN,

	/**
	 * A run of a task ended, or was abandoned because it certainly is not in progress.
	 */
	RUN_ENDED,

	/** A start or stop of a run was passed to the channel of a runner. */
	RUN_ORDERED,

	/** A start or stop was not answered with success. */
	RUN_ORDER_FAILED,

	/** A leader proposed to release a run because it certainly is not in progress. */
	RUN_RELEASED,

	/** A leader acknowledged further ends of a runner. */
	ENDS_ACKNOWLEDGED,

	/** The state of a host in a maintenance wave changed. */
	UPKEEP_CHANGED,

	/** An order about a host was passed to the channel of the platform. */
	HOST_ORDERED,

	/** A call was answered with an error instead of the requested result. */
	CALL_REFUSED,

	/** A process that calls the leader found or lost it. */
	LEADER_CONTACT_CHANGED,

	/** Load and delay of the leader during the last second. */
	LEADER_LOAD,

	/**
	 * Work of one kind waits although nothing should prevent it from going on, or no
	 * longer does.
	 */
	BATCH_OVERDUE,

	/** A data centre was closed, or a new leader found it closed. */
	DATA_CENTRE_CLOSED,

	/** A closed data centre was opened. */
	DATA_CENTRE_OPENED,

	/** Tasks wait for a place near their data or for a rack of their own. */
	PLACEMENT_WAITS,

	/** A wait for a better place ended. */
	PLACEMENT_WAIT_ENDED,

	/** Events were dropped because there were too many. */
	EVENTS_DROPPED

}
