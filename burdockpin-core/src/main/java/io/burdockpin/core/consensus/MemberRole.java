package io.burdockpin.core.consensus;

/** Whether a member of the control group counts for majorities. */
public enum MemberRole {

	/** Votes and counts for commits. */
	VOTER {
		@Override
		public boolean countsForMajority() {
			return true;
		}
	},

	/** Receives the log but does not vote. */
	LEARNER {
		@Override
		public boolean countsForMajority() {
			return false;
		}
	};

	/**
	 * Tells whether the member counts for majorities.
	 * @return {@code true} for a voter
	 */
	public abstract boolean countsForMajority();

}
