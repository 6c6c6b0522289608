package io.burdockpin.core.model;

import java.util.EnumSet;
import java.util.Set;

/** State of a host in its pool, with the permitted transitions. */
public enum HostState {

	/** Accepts new jobs. */
	IN_SERVICE(true) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(DRAINING, LOST, SET_ASIDE);
		}
	},

	/** Accepts no new jobs; its running jobs finish or are moved. */
	DRAINING(false) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(IN_SERVICE, IN_MAINTENANCE, LOST);
		}
	},

	/** Is being rebooted or repaired and runs no jobs. */
	IN_MAINTENANCE(false) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(RETURNING, LOST);
		}
	},

	/**
	 * Has reported after maintenance or loss and is being checked before it returns to
	 * service.
	 */
	RETURNING(false) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(IN_SERVICE, SET_ASIDE, LOST);
		}
	},

	/** Has not reported for longer than the duration of its lease. */
	LOST(false) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(RETURNING, IN_MAINTENANCE);
		}
	},

	/** Reports, but the jobs that it starts fail. */
	SET_ASIDE(false) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(RETURNING, DRAINING, LOST);
		}
	},

	/** Was added and has not reported yet. */
	AWAITED(false) {
		@Override
		public Set<HostState> successors() {
			return EnumSet.of(RETURNING);
		}
	};

	private final boolean acceptsNewJobs;

	HostState(boolean acceptsNewJobs) {
		this.acceptsNewJobs = acceptsNewJobs;
	}

	/**
	 * Returns the states that may follow this one.
	 * @return the permitted next states
	 */
	public abstract Set<HostState> successors();

	/**
	 * Returns whether the planner may place new jobs on a host in this state.
	 * @return {@code true} only for {@link #IN_SERVICE}
	 */
	public boolean acceptsNewJobs() {
		return this.acceptsNewJobs;
	}

	/**
	 * Returns whether a host in this state counts as available in an availability budget.
	 * @return {@code true} only for {@link #IN_SERVICE}
	 */
	public boolean countsAsAvailable() {
		return this == IN_SERVICE;
	}

	/**
	 * Returns whether a host in this state counts in the size of its pool, whether it is
	 * in service or not.
	 * @return {@code false} only for {@link #AWAITED}
	 */
	public boolean countsInPool() {
		return this != AWAITED;
	}

}
