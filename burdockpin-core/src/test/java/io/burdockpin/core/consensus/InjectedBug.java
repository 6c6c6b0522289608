package io.burdockpin.core.consensus;

/** Faults that tests plant around a replica to show that the invariants catch them. */
enum InjectedBug {

	/** Everything works as designed. */
	NONE,

	/** The disk reports a vote as written but loses it in a crash. */
	VOTE_NOT_PERSISTED,

	/** The disk reports entries as written before they are. */
	ACKNOWLEDGED_BEFORE_SYNC,

	/** A member that lost its disk comes back under its old identity. */
	WIPED_MEMBER_VOTES,

	/** Entries of older terms are committed as soon as a majority has them. */
	OLDER_TERM_COMMITTED,

	/** The leader answers reads without asking a majority. */
	READ_WITHOUT_MAJORITY

}
