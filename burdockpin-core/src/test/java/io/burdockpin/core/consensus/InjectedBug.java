package io.burdockpin.core.consensus;

/** Bugs injected around a replica to verify that {@link Invariants} detects them. */
enum InjectedBug {

	/** No bug. */
	NONE,

	/** The disk reports a vote as written but does not store it. */
	VOTE_NOT_PERSISTED,

	/** The disk reports writes as synced before they are stored. */
	ACKNOWLEDGED_BEFORE_SYNC,

	/** A member that lost its disk rejoins with its old incarnation. */
	WIPED_MEMBER_VOTES,

	/** Entries of earlier terms are committed as soon as a majority stores them. */
	OLDER_TERM_COMMITTED,

	/** The leader confirms reads without contacting a majority. */
	READ_WITHOUT_MAJORITY

}
