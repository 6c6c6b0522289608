package io.burdockpin.core.consensus;

/**
 * Result of a requested membership change.
 *
 * @param kind whether the change was proposed, was already made or was rejected
 * @param index log index of the change, 0 if there is none
 */
public record MembershipChangeResult(Kind kind, long index) {

	/** Kind of a result. */
	public enum Kind {

		/**
		 * The change was appended to the log. It is final once that entry is committed.
		 */
		PROPOSED,

		/**
		 * The newest membership in the log already reflects the change but is not
		 * committed yet. The change is final once that entry is committed.
		 */
		PENDING,

		/** The change was made earlier and is committed. */
		ALREADY_DONE,

		/**
		 * This member is not the leader, has not committed an entry of its term yet, or
		 * transfers the leadership first. Nothing was changed; the caller should retry.
		 */
		NOT_LEADER,

		/** Another membership change is not committed yet. */
		BUSY,

		/** The change is not valid for the current membership. */
		REFUSED

	}

}
