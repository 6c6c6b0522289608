package io.burdockpin.core.consensus;

/**
 * Answer to the wish for a membership change.
 *
 * @param kind what became of it
 * @param index the log index of the change, 0 if there is none
 */
public record MembershipChangeResult(Kind kind, long index) {

	/** What became of a wish for a membership change. */
	public enum Kind {

		/** It is in the log; it holds once that entry is committed. */
		PROPOSED,

		/**
		 * The members in the log already show it, but they are not committed yet. It
		 * holds once that entry is committed.
		 */
		PENDING,

		/** It was made before and is committed. */
		ALREADY_DONE,

		/**
		 * This member does not lead, has not committed an entry of its term yet or hands
		 * over the leadership first. Nothing was done; the sender tries again.
		 */
		NOT_LEADER,

		/** Another change is not committed yet. */
		BUSY,

		/** It does not fit the present members. */
		REFUSED

	}

}
