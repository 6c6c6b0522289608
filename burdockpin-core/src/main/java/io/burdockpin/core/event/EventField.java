package io.burdockpin.core.event;

/** Fields that an event may carry. */
public enum EventField {

	/** A host. */
	HOST("host"),

	/** A data centre. */
	DATA_CENTRE("dataCentre"),

	/** A pool. */
	POOL("pool"),

	/** A team. */
	TEAM("team"),

	/** A queue. */
	QUEUE("queue"),

	/** A runner. */
	RUNNER("runner"),

	/** The identifier of a request. */
	REQUEST("request"),

	/** The first digits of the hash of a key. */
	KEY("key"),

	/** Whether a request or job may run again. */
	REPEATABLE("repeatable"),

	/** The number that an entry host gave a request, unique in one life of it. */
	SUBMISSION("submission"),

	/** The number of an attempt. */
	ATTEMPT("attempt"),

	/**
	 * The packed hybrid timestamp at which the request was accepted, in the first line of
	 * a request whose acceptance has no line of its own.
	 */
	ACCEPTED("acceptedHlc"),

	/**
	 * The packed hybrid timestamp at which the attempt was sent, if that has no line of
	 * its own.
	 */
	STARTED("startedHlc"),

	/** The attempt of another entry host that a forwarded attempt belongs to. */
	FORWARDED_BY("forwardedBy"),

	/** A job. */
	JOB("job"),

	/** Jobs, separated by spaces. */
	JOBS("jobs"),

	/** A lease epoch. */
	LEASE_EPOCH("leaseEpoch"),

	/** A campaign. */
	CAMPAIGN("campaign"),

	/** An error code. */
	CODE("code"),

	/** An outcome. */
	OUTCOME("outcome"),

	/** A state. */
	STATE("state"),

	/** A log index. */
	INDEX("index"),

	/** A term. */
	TERM("term"),

	/** The upper limit of a team. */
	LIMIT("limit"),

	/** A count. */
	COUNT("count"),

	/** A task of a job. */
	TASK("task"),

	/** Number of a run of a task. */
	RUN("run"),

	/** Number of a maintenance wave. */
	WAVE("wave"),

	/** A version of the configuration. */
	VERSION("version"),

	/** How long something took or may take, in milliseconds. */
	MILLIS("millis"),

	/** How many calls arrived. */
	CALLS("calls"),

	/** How many connections of other processes were accepted. */
	CONNECTIONS("connections"),

	/** How many orders went to runners. */
	ORDERS("orders"),

	/** How many requests for their lists went to runners. */
	LISTENS("listens"),

	/** Time that was spent in decisions, in milliseconds. */
	BUSY_MILLIS("busyMillis"),

	/** How late the latest step was that was due at a set time, in milliseconds. */
	LATE_MILLIS("lateMillis"),

	/** How long ago a runner was heard, in milliseconds. */
	HEARD_MILLIS("heardMillis"),

	/** How long ago the lease of a runner was extended, in milliseconds. */
	GRANTED_MILLIS("grantedMillis"),

	/** How long an order has been without an answer, in milliseconds. */
	OPEN_MILLIS("openMillis"),

	/** A short text. */
	DETAIL("detail");

	private final String jsonName;

	EventField(String jsonName) {
		this.jsonName = jsonName;
	}

	/**
	 * Returns the name in event files.
	 * @return the name
	 */
	public String jsonName() {
		return this.jsonName;
	}

}
