package io.burdockpin.core.event;

/** Field of an {@link Event}. */
public enum EventField {

	/** Name of a host. */
	HOST("host"),

	/** Name of a data centre. */
	DATA_CENTRE("dataCentre"),

	/** Name of a pool. */
	POOL("pool"),

	/** Name of a team. */
	TEAM("team"),

	/** Name of a queue. */
	QUEUE("queue"),

	/** Identifier of a runner. */
	RUNNER("runner"),

	/** Identifier of a request. */
	REQUEST("request"),

	/** First digits of the hash of a key. */
	KEY("key"),

	/** Whether a request or job may run more than once. */
	REPEATABLE("repeatable"),

	/**
	 * Number assigned to a request by an entry host, unique within its incarnation.
	 */
	SUBMISSION("submission"),

	/** Number of an attempt. */
	ATTEMPT("attempt"),

	/**
	 * Packed hybrid timestamp at which the request was accepted. Set in the first event
	 * of a request whose acceptance has no event of its own.
	 */
	ACCEPTED("acceptedHlc"),

	/**
	 * Packed hybrid timestamp at which the attempt was sent, if that has no event of its
	 * own.
	 */
	STARTED("startedHlc"),

	/** Attempt of the forwarding entry host that a forwarded attempt belongs to. */
	FORWARDED_BY("forwardedBy"),

	/** Identifier of a job. */
	JOB("job"),

	/** Identifiers of jobs, separated by spaces. */
	JOBS("jobs"),

	/** Lease epoch of a job. */
	LEASE_EPOCH("leaseEpoch"),

	/** Name of a campaign. */
	CAMPAIGN("campaign"),

	/** Error code. */
	CODE("code"),

	/** Outcome of a request or attempt. */
	OUTCOME("outcome"),

	/** State of the subject of the event. */
	STATE("state"),

	/** Log index. */
	INDEX("index"),

	/** Term of a leader. */
	TERM("term"),

	/** Upper limit of a team. */
	LIMIT("limit"),

	/** Number of items, depending on the kind of the event. */
	COUNT("count"),

	/** Identifier of a task of a job. */
	TASK("task"),

	/** Number of a run of a task. */
	RUN("run"),

	/**
	 * Time at which the session with a runner was opened, by the monotonic clock of the
	 * recording process, in milliseconds. It identifies the session.
	 */
	SESSION("session"),

	/** Number of the last end of a runner that is acknowledged. */
	END("end"),

	/** Number of a maintenance wave. */
	WAVE("wave"),

	/** Sequence number of the announcement of a runner. */
	SEQUENCE("sequence"),

	/** Version of the configuration. */
	VERSION("version"),

	/** Actual or allowed duration in milliseconds. */
	MILLIS("millis"),

	/** Number of received calls. */
	CALLS("calls"),

	/** Number of accepted connections of other processes. */
	CONNECTIONS("connections"),

	/** Number of orders sent to runners. */
	ORDERS("orders"),

	/** Number of list requests sent to runners. */
	LISTENS("listens"),

	/** Processing time of the leader in milliseconds. */
	BUSY_MILLIS("busyMillis"),

	/** Maximum delay of a scheduled step in milliseconds. */
	LATE_MILLIS("lateMillis"),

	/** Number of tasks that started near their data after a wait. */
	WAITS_PAID("waitsPaid"),

	/** Number of tasks that started far from their data although they had waited. */
	WAITS_UNPAID("waitsUnpaid"),

	/** What all jobs take of a control member, in the units of their sizes. */
	JOB_UNITS("jobUnits"),

	/** Number of steps that wait for a place and are ready. */
	WAITING_STEPS("waitingSteps"),

	/** Number of hosts that serve the pools, without those that are being moved. */
	HOSTS("hosts"),

	/** Number of hosts of the pools that have no runs. */
	IDLE_HOSTS("idleHosts"),

	/** Number of hosts that are being moved. */
	MOVING_HOSTS("movingHosts"),

	/** Number of hosts that the demand forecast expects to be required. */
	EXPECTED_HOSTS("expectedHosts"),

	/** Recognised period of the demand in milliseconds. */
	PERIOD_MILLIS("periodMillis"),

	/** Time since the last contact with a runner in milliseconds. */
	HEARD_MILLIS("heardMillis"),

	/** Time since the last extension of the lease of a runner in milliseconds. */
	GRANTED_MILLIS("grantedMillis"),

	/** Time that an order has been unanswered in milliseconds. */
	OPEN_MILLIS("openMillis"),

	/** Term of the leader that proposed the last change of an order about a host. */
	PREVIOUS_TERM("previousTerm"),

	/**
	 * Time since that change was applied, by the monotonic clock of the recording
	 * process, in milliseconds.
	 */
	CHANGED_MILLIS("changedMillis"),

	/**
	 * Time since that change was proposed, by the wall clocks of the proposing and the
	 * recording process, in milliseconds.
	 */
	CHANGED_WALL_MILLIS("changedWallMillis"),

	/** Who gave an order. */
	ORIGIN("origin"),

	/** Time of an order that is still in force, in milliseconds since 1970. */
	SINCE_MILLIS("sinceMillis"),

	/** Number of tasks that are assigned to runners in closed data centres. */
	CLOSED_TASKS("closedTasks"),

	/** Number of pools without free capacity for all waiting tasks. */
	SHORT_POOLS("shortPools"),

	/** Number of new jobs for which a short pool has capacity until their objective. */
	CHOSEN_JOBS("chosenJobs"),

	/** Number of new jobs that are deferred because a short pool cannot serve all. */
	DEFERRED_JOBS("deferredJobs"),

	/** Number of new jobs submitted beyond the weight of their workspace. */
	BEYOND_WEIGHT_JOBS("beyondWeightJobs"),

	/** Number of jobs in short pools that cannot be in time. */
	LATE_JOBS("lateJobs"),

	/** Short free text. */
	DETAIL("detail");

	private final String jsonName;

	EventField(String jsonName) {
		this.jsonName = jsonName;
	}

	/**
	 * Returns the JSON name of the field in event files.
	 * @return the name
	 */
	public String jsonName() {
		return this.jsonName;
	}

}
