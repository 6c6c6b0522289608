package io.burdockpin.core.placement;

import java.util.Optional;

import io.burdockpin.core.model.HostState;

/**
 * Which state follows each state of a host from what its worker reports. The constants
 * have the names of the states.
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

	/** Cannot be lost, because it has not been there yet. */
	AWAITED {
		@Override
		Optional<HostState> next(Observation observation) {
			return observation.live() ? Optional.of(HostState.RETURNING) : Optional.empty();
		}
	};

	static HostStateTransition of(HostState state) {
		return valueOf(state.name());
	}

	abstract Optional<HostState> next(Observation observation);

	/**
	 * What is known about a worker.
	 *
	 * @param live whether it reported recently
	 * @param silent whether it has not reported for a lease and its margin
	 * @param failing whether it fails everything and may be set aside
	 * @param retryDue whether it has been set aside for long enough
	 */
	record Observation(boolean live, boolean silent, boolean failing, boolean retryDue) {
	}

}
