package io.burdockpin.core.placement;

import java.util.Optional;

import io.burdockpin.core.model.HostState;

/**
 * State transitions of a host that follow from the reports of its worker, one constant
 * for each {@link HostState}. The names of the constants must match those of the states.
 */
enum HostStateTransition {

	IN_SERVICE {
		@Override
		Optional<HostState> next(Observation observation) {
			if (observation.silent()) {
				return Optional.of(HostState.LOST);
			}
			return observation.failing() ? Optional.of(HostState.SET_ASIDE) : Optional.empty();
		}
	},

	DRAINING {
		@Override
		Optional<HostState> next(Observation observation) {
			return observation.silent() ? Optional.of(HostState.LOST) : Optional.empty();
		}
	},

	IN_MAINTENANCE {
		@Override
		Optional<HostState> next(Observation observation) {
			return Optional.empty();
		}
	},

	RETURNING {
		@Override
		Optional<HostState> next(Observation observation) {
			if (observation.live()) {
				return Optional.of(HostState.IN_SERVICE);
			}
			return observation.silent() ? Optional.of(HostState.LOST) : Optional.empty();
		}
	},

	LOST {
		@Override
		Optional<HostState> next(Observation observation) {
			return observation.live() ? Optional.of(HostState.RETURNING) : Optional.empty();
		}
	},

	SET_ASIDE {
		@Override
		Optional<HostState> next(Observation observation) {
			if (observation.silent()) {
				return Optional.of(HostState.LOST);
			}
			return observation.retryDue() ? Optional.of(HostState.RETURNING) : Optional.empty();
		}
	},

	/** Cannot become lost, because the host has never reported. */
	AWAITED {
		@Override
		Optional<HostState> next(Observation observation) {
			return observation.live() ? Optional.of(HostState.RETURNING) : Optional.empty();
		}
	};

	static HostStateTransition of(HostState state) {
		return valueOf(state.name());
	}

	/**
	 * Returns the state that follows from an observation.
	 * @param observation the health of the worker
	 * @return the next state, or empty if the state does not change
	 */
	abstract Optional<HostState> next(Observation observation);

	/**
	 * Health of a worker at the time of a round.
	 *
	 * @param live whether it has reported within the liveness timeout
	 * @param silent whether it has not reported for a lease duration plus its margin
	 * @param failing whether it has failed enough different jobs, and its pool permits
	 * setting it aside
	 * @param retryDue whether it is set aside and its retry delay has passed
	 */
	record Observation(boolean live, boolean silent, boolean failing, boolean retryDue) {
	}

}
