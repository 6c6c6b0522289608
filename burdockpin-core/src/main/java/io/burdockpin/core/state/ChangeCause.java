package io.burdockpin.core.state;

import io.burdockpin.core.model.HostState;

/** Origin of a requested change of a host state. */
public enum ChangeCause {

	/**
	 * An operator, who may change any host but an awaited one: only a report of its
	 * worker proves that such a host exists.
	 */
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

	/** A report of the worker, or its absence. */
	WORKER_REPORT {
		@Override
		public boolean mayCause(HostState from, HostState to) {
			boolean checked = from == HostState.RETURNING && to == HostState.IN_SERVICE;
			return checked || to == HostState.LOST || to == HostState.RETURNING || to == HostState.SET_ASIDE;
		}
	};

	/**
	 * Returns whether this origin may request a transition that the host state permits.
	 * @param from the current state
	 * @param to the requested state
	 * @return {@code true} if the transition is allowed
	 */
	public abstract boolean mayCause(HostState from, HostState to);

}
