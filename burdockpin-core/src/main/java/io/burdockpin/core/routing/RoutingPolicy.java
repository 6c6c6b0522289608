package io.burdockpin.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

import io.burdockpin.core.model.DataCentre;

/** Chooses a runner or another entry host among those that can accept a request. */
public enum RoutingPolicy {

	/** Local data centre first, then the runner with the most free slots. */
	NEAREST_THEN_LEAST_BUSY {
		@Override
		protected long runnerCost(RunnerLoad load, DataCentre localDataCentre) {
			return remote(load, localDataCentre) * REMOTE_COST - load.freeSlots();
		}
	},

	/** Local data centre first, then the runner with the shortest service time. */
	NEAREST_THEN_FASTEST {
		@Override
		protected long runnerCost(RunnerLoad load, DataCentre localDataCentre) {
			return remote(load, localDataCentre) * REMOTE_COST + load.serviceMillis();
		}
	},

	/** The runner with the most free slots, regardless of its data centre. */
	LEAST_BUSY {
		@Override
		protected long runnerCost(RunnerLoad load, DataCentre localDataCentre) {
			return -load.freeSlots();
		}
	};

	private static final long REMOTE_COST = 1_000_000_000L;

	/**
	 * Chooses a runner.
	 * @param candidates runners with a free slot
	 * @param localDataCentre data centre of this entry host
	 * @param random breaks ties
	 * @return a candidate with the lowest cost, empty without candidates
	 */
	public Optional<RunnerLoad> chooseRunner(List<RunnerLoad> candidates, DataCentre localDataCentre,
			RandomGenerator random) {
		return cheapest(candidates, (load) -> runnerCost(load, localDataCentre), random);
	}

	/**
	 * Chooses another entry host whose expected wait plus round trip time is shorter than
	 * the local wait: the better of two drawn at random. If every entry host chose the
	 * best one by the same status, all of them would forward to it until the next status.
	 * @param candidates loads of the other entry hosts
	 * @param localDataCentre data centre of this entry host
	 * @param localWaitMillis expected wait at this entry host
	 * @param roundTripTimes round trip times to the other entry hosts
	 * @param random draws the two candidates
	 * @return the entry host, empty if forwarding saves no time
	 */
	public Optional<PeerLoad> choosePeer(List<PeerLoad> candidates, DataCentre localDataCentre, long localWaitMillis,
			PeerRoundTripTimes roundTripTimes, RandomGenerator random) {
		List<PeerLoad> better = candidates.stream()
			.filter((load) -> load.expectedWaitMillis() != Long.MAX_VALUE)
			.filter((load) -> peerCost(load, localDataCentre, roundTripTimes) < localWaitMillis)
			.toList();
		return betterOfTwo(better, (load) -> peerCost(load, localDataCentre, roundTripTimes), random);
	}

	/**
	 * Returns the cost of a runner. A runner with the lowest cost is chosen.
	 * @param load the runner and its load
	 * @param localDataCentre data centre of this entry host
	 * @return the cost, which may be negative
	 */
	protected abstract long runnerCost(RunnerLoad load, DataCentre localDataCentre);

	private static long remote(RunnerLoad load, DataCentre localDataCentre) {
		return load.runner().dataCentre().equals(localDataCentre) ? 0 : 1;
	}

	private static long peerCost(PeerLoad load, DataCentre localDataCentre, PeerRoundTripTimes roundTripTimes) {
		return load.expectedWaitMillis() + roundTripTimes.roundTripMillis(load.dataCentre().equals(localDataCentre));
	}

	/**
	 * Chooses the better of two candidates drawn at random with replacement.
	 * @param <T> type of the candidates
	 * @param candidates the candidates
	 * @param cost cost of a candidate; the lower one is better
	 * @param random draws the two candidates
	 * @return the better candidate, empty without candidates
	 */
	public static <T> Optional<T> betterOfTwo(List<T> candidates, ToLongFunction<T> cost, RandomGenerator random) {
		return random.ints(2, 0, Math.max(1, candidates.size()))
			.filter((position) -> position < candidates.size())
			.mapToObj(candidates::get)
			.min(Comparator.comparingLong(cost));
	}

	private static <T> Optional<T> cheapest(List<T> candidates, ToLongFunction<T> cost, RandomGenerator random) {
		Optional<T> first = candidates.stream().min(Comparator.comparingLong(cost));
		if (first.isEmpty()) {
			return first;
		}
		long lowest = cost.applyAsLong(first.get());
		List<T> equals = candidates.stream().filter((candidate) -> cost.applyAsLong(candidate) == lowest).toList();
		return Optional.of(equals.get(random.nextInt(equals.size())));
	}

}
