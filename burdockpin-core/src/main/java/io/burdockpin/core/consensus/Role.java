package io.burdockpin.core.consensus;

/** What a member does at present. */
public enum Role {

	/** Follows a leader or waits for one. */
	FOLLOWER {
		@Override
		void tick(Replica replica, long nowMillis) {
			replica.tickWithoutLeadership(nowMillis);
		}
	},

	/** Asks whether it would be elected. */
	PRE_CANDIDATE {
		@Override
		void tick(Replica replica, long nowMillis) {
			replica.tickWithoutLeadership(nowMillis);
		}
	},

	/** Stands for election. */
	CANDIDATE {
		@Override
		void tick(Replica replica, long nowMillis) {
			replica.tickWithoutLeadership(nowMillis);
		}
	},

	/** Leads. */
	LEADER {
		@Override
		void tick(Replica replica, long nowMillis) {
			replica.tickAsLeader(nowMillis);
		}
	};

	abstract void tick(Replica replica, long nowMillis);

}
