package io.burdockpin.core.model;

import java.util.EnumSet;
import java.util.Set;

/** State of a host in its pool, with the transitions that are permitted from it. */
public enum HostState {

	/** Takes new jobs. */
	IN_SERVICE(true) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(DRAINING, LOST, SET_ASIDE);
		}
	},

	/** Takes no new jobs; its jobs end or move. */
	DRAINING(false) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(IN_SERVICE, IN_MAINTENANCE, LOST);
		}
	},

	/** Is being rebooted or repaired and runs nothing. */
	IN_MAINTENANCE(false) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(RETURNING, LOST);
		}
	},

	/** Has reported after maintenance or loss and is being checked. */
	RETURNING(false) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(IN_SERVICE, SET_ASIDE, LOST);
		}
	},

	/** Has not reported for longer than its lease. */
	LOST(false) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(RETURNING, IN_MAINTENANCE);
		}
	},

	/** Reports, but fails the jobs that it starts. */
	SET_ASIDE(false) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(RETURNING, DRAINING, LOST);
		}
	},

	/** Was added and has not reported since. */
	AWAITED(false) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(RETURNING);
		}
	};

	private final boolean acceptsNewJobs;

	HostState(boolean takesNewJobs) {
		this.acceptsNewJobs = takesNewJobs;
	}

	/**
	 * Returns the states that may follow this one.
	 * @return the permitted next states
	 */
	public abstract Set<HostState> successors();

	/**
	 * Tells whether the planner may place new jobs on a host in this state.
	 * @return {@code true} if new jobs may start
	 */
	public boolean acceptsNewJobs() {
		return this.acceptsNewJobs;
	}

	/**
	 * Tells whether a host in this state counts as available in a budget.
	 * @return {@code true} only for {@link #IN_SERVICE}
	 */
	public boolean countsAsAvailable() {
		return this == IN_SERVICE;
	}

	/**
	 * Tells whether a host in this state belongs to the capacity of its pool, whether it
	 * is in service or out.
	 * @return {@code false} only for {@link #AWAITED}
	 */
	public boolean countsInPool() {
		return this != AWAITED;
	}

}
