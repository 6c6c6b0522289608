package io.burdockpin.core.state;

import io.burdockpin.core.model.HostState;

/** Who asks for a change of a host's state. */
public enum ChangeCause {

	/** An operator. Only a report shows that an awaited host exists. */
	OPERATOR {
		@Override
		public boolean mayCause(HostState from, HostState to) {
			return from != HostState.AWAITED;
		}
	},

	/** The maintenance planner. */
	PLANNER {
		@Override
		public boolean mayCause(HostState from, HostState to) {
			return from != HostState.AWAITED && to != HostState.LOST;
		}
	},

	/** A report of the worker, or the lack of one. */
	WORKER_REPORT {
		@Override
		public boolean mayCause(HostState from, HostState to) {
			boolean checked = from == HostState.RETURNING && to == HostState.IN_SERVICE;
			return checked || to == HostState.LOST || to == HostState.RETURNING || to == HostState.SET_ASIDE;
		}
	};

	/**
	 * Tells whether this cause may lead to a transition that the host state permits.
	 * @param from the state before
	 * @param to the state after
	 * @return {@code true} if the transition may have this cause
	 */
	public abstract boolean mayCause(HostState from, HostState to);

}
