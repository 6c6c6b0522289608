package io.burdockpin.core.exc;

import io.burdockpin.core.model.Outcome;

/**
 * Stable error codes that callers and operators see. Each code states what is known about
 * whether the refused work ran.
 */
public enum ErrorCode {

	/** The request or a value in it is malformed or out of range. */
	BAD_REQUEST(Outcome.NOT_RUN),

	/** The settings file is not usable. */
	BAD_SETTINGS(Outcome.NOT_RUN),

	/** The body is larger than the configured limit. */
	BODY_TOO_LARGE(Outcome.NOT_RUN),

	/** The queue does not exist. */
	UNKNOWN_QUEUE(Outcome.NOT_RUN),

	/** The pool does not exist. */
	UNKNOWN_POOL(Outcome.NOT_RUN),

	/** The host does not exist. */
	UNKNOWN_HOST(Outcome.NOT_RUN),

	/** The team does not exist. */
	UNKNOWN_TEAM(Outcome.NOT_RUN),

	/** The job does not exist or its result has expired. */
	UNKNOWN_JOB(Outcome.NOT_RUN),

	/** The campaign does not exist. */
	UNKNOWN_CAMPAIGN(Outcome.NOT_RUN),

	/** The name is already in use. */
	ALREADY_EXISTS(Outcome.NOT_RUN),

	/** The object is still in use. */
	STILL_IN_USE(Outcome.NOT_RUN),

	/** No team key came with the request. */
	KEY_MISSING(Outcome.NOT_RUN),

	/** The team key is not known. */
	KEY_UNKNOWN(Outcome.NOT_RUN),

	/** The team key has been withdrawn. */
	KEY_WITHDRAWN(Outcome.NOT_RUN),

	/**
	 * The key cannot be checked because the data centre has been cut off for too long.
	 */
	KEY_UNVERIFIED(Outcome.NOT_RUN),

	/** The key belongs to another team than the one the request names. */
	KEY_OF_OTHER_TEAM(Outcome.NOT_RUN),

	/** The request deadline has passed. */
	DEADLINE_EXCEEDED(Outcome.UNKNOWN),

	/** The deadline passed before the work was started. */
	DEADLINE_EXCEEDED_BEFORE_START(Outcome.NOT_RUN),

	/** The team is at its upper limit. */
	TEAM_LIMIT_REACHED(Outcome.NOT_RUN),

	/** The queue is full. */
	QUEUE_FULL(Outcome.NOT_RUN),

	/** No runner is available for the queue. */
	NO_RUNNER(Outcome.NOT_RUN),

	/** The request identifier has been claimed and its outcome is not known yet. */
	ALREADY_CLAIMED(Outcome.UNKNOWN),

	/** The request has already run; its answer is no longer available. */
	ALREADY_RAN(Outcome.RAN),

	/**
	 * The identifier of a request that is not repeatable is missing or outside the
	 * window.
	 */
	REQUEST_ID_REJECTED(Outcome.NOT_RUN),

	/** The expected version is not the current one. */
	VERSION_CONFLICT(Outcome.NOT_RUN),

	/** The host state does not permit the change. */
	STATE_CONFLICT(Outcome.NOT_RUN),

	/** The change would break an availability budget. */
	BUDGET_EXCEEDED(Outcome.NOT_RUN),

	/** No leader with a majority can be reached; the change was not proposed. */
	NO_MAJORITY(Outcome.NOT_RUN),

	/** It is not known whether the change or the work took effect. */
	OUTCOME_UNKNOWN(Outcome.UNKNOWN),

	/** The upstream answered in a way that cannot be passed on. */
	UPSTREAM_FAILED(Outcome.UNKNOWN),

	/** The process is stopping and takes no new work. */
	STOPPING(Outcome.NOT_RUN),

	/** A data file is corrupt. */
	DATA_CORRUPT(Outcome.UNKNOWN),

	/** A file could not be read, written or synced. */
	STORAGE_FAILED(Outcome.UNKNOWN),

	/** A frame or document could not be decoded. */
	DECODE_FAILED(Outcome.UNKNOWN),

	/** A connection could not be opened or was lost. */
	CONNECTION_FAILED(Outcome.UNKNOWN),

	/** An internal rule was broken. */
	INTERNAL(Outcome.UNKNOWN);

	private final Outcome outcome;

	ErrorCode(Outcome outcome) {
		this.outcome = outcome;
	}

	/**
	 * Returns what is known about whether the refused work ran.
	 * @return the outcome
	 */
	public Outcome outcome() {
		return this.outcome;
	}

}
