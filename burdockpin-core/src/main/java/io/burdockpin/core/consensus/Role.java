package io.burdockpin.core.consensus;

/** Current role of a replica. */
public enum Role {

	/** Follows a leader or waits for one. */
	FOLLOWER {
		@Override
		void tick(Replica replica, long nowMillis) {
			replica.tickWithoutLeadership(nowMillis);
		}
	},

	/** Runs a pre-vote before it starts an election. */
	PRE_CANDIDATE {
		@Override
		void tick(Replica replica, long nowMillis) {
			replica.tickWithoutLeadership(nowMillis);
		}
	},

	/** Requests votes in an election. */
	CANDIDATE {
		@Override
		void tick(Replica replica, long nowMillis) {
			replica.tickWithoutLeadership(nowMillis);
		}
	},

	/** Leads the group in the current term. */
	LEADER {
		@Override
		void tick(Replica replica, long nowMillis) {
			replica.tickAsLeader(nowMillis);
		}
	};

	abstract void tick(Replica replica, long nowMillis);

}
