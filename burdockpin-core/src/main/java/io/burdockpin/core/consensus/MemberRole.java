package io.burdockpin.core.consensus;

/** Whether a member of the consensus group votes. */
public enum MemberRole {

	/** Votes in elections and counts towards the commit quorum. */
	VOTER {
		@Override
		public boolean countsForMajority() {
			return true;
		}
	},

	/** Receives the log but neither votes nor counts towards the quorum. */
	LEARNER {
		@Override
		public boolean countsForMajority() {
			return false;
		}
	};

	/**
	 * Tells whether the member counts towards the quorum.
	 * @return {@code true} for a voter
	 */
	public abstract boolean countsForMajority();

}
