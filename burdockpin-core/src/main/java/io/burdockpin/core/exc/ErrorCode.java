package io.burdockpin.core.exc;

import io.burdockpin.core.model.Outcome;

/**
 * Stable error codes for callers and operators. Each code tells whether the failed work
 * ran, as far as this is known.
 */
public enum ErrorCode {

	/** The request or a value in it is malformed or out of range. */
	BAD_REQUEST(Outcome.NOT_RUN),

	/** The settings file is missing or invalid. */
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

	/** The request has no team key. */
	KEY_MISSING(Outcome.NOT_RUN),

	/** The team key is unknown. */
	KEY_UNKNOWN(Outcome.NOT_RUN),

	/** The team key has been withdrawn. */
	KEY_WITHDRAWN(Outcome.NOT_RUN),

	/**
	 * The key cannot be verified because the data centre has been disconnected from the
	 * control group for too long.
	 */
	KEY_UNVERIFIED(Outcome.NOT_RUN),

	/** The key belongs to another team than the one named in the request. */
	KEY_OF_OTHER_TEAM(Outcome.NOT_RUN),

	/** The request deadline has passed. */
	DEADLINE_EXCEEDED(Outcome.UNKNOWN),

	/** The request deadline has passed before the work was started. */
	DEADLINE_EXCEEDED_BEFORE_START(Outcome.NOT_RUN),

	/** The team is at its upper limit. */
	TEAM_LIMIT_REACHED(Outcome.NOT_RUN),

	/** The queue is full. */
	QUEUE_FULL(Outcome.NOT_RUN),

	/** No runner is available for the queue. */
	NO_RUNNER(Outcome.NOT_RUN),

	/** The request identifier is claimed, and the outcome is not known yet. */
	ALREADY_CLAIMED(Outcome.UNKNOWN),

	/** The request has already run, and its response is no longer available. */
	ALREADY_RAN(Outcome.RAN),

	/**
	 * The identifier of a non-repeatable request is missing or outside the accepted
	 * window.
	 */
	REQUEST_ID_REJECTED(Outcome.NOT_RUN),

	/** The expected version is not the current one. */
	VERSION_CONFLICT(Outcome.NOT_RUN),

	/** The host state does not permit the change. */
	STATE_CONFLICT(Outcome.NOT_RUN),

	/** The change would exceed an availability budget. */
	BUDGET_EXCEEDED(Outcome.NOT_RUN),

	/** No leader with a majority is reachable. The change was not proposed. */
	NO_MAJORITY(Outcome.NOT_RUN),

	/** It is unknown whether the change or the work took effect. */
	OUTCOME_UNKNOWN(Outcome.UNKNOWN),

	/** The upstream sent a response that cannot be forwarded. */
	UPSTREAM_FAILED(Outcome.UNKNOWN),

	/** The process is stopping and accepts no new work. */
	STOPPING(Outcome.NOT_RUN),

	/** A data file is corrupt. */
	DATA_CORRUPT(Outcome.UNKNOWN),

	/** A file could not be read, written or synced. */
	STORAGE_FAILED(Outcome.UNKNOWN),

	/** A frame or document could not be decoded. */
	DECODE_FAILED(Outcome.UNKNOWN),

	/** A connection could not be opened or was lost. */
	CONNECTION_FAILED(Outcome.UNKNOWN),

	/** An internal invariant was violated. */
	INTERNAL(Outcome.UNKNOWN);

	private final Outcome outcome;

	ErrorCode(Outcome outcome) {
		this.outcome = outcome;
	}

	/**
	 * Tells whether the failed work ran.
	 * @return the outcome as far as it is known
	 */
	public Outcome outcome() {
		return this.outcome;
	}

}
