package io.burdockpin.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

import io.burdockpin.core.model.DataCentre;

/** How a runner or another entry host is chosen among those that can take a request. */
public enum RoutingPolicy {

	/** Own data centre first, then the runner with the most free slots. */
	NEAREST_THEN_LEAST_BUSY {
		@Override
		protected long runnerCost(RunnerLoad load, DataCentre ownDataCentre) {
			return remote(load, ownDataCentre) * REMOTE_COST - load.freeSlots();
		}
	},

	/** Own data centre first, then the runner with the shortest recent service time. */
	NEAREST_THEN_FASTEST {
		@Override
		protected long runnerCost(RunnerLoad load, DataCentre ownDataCentre) {
			return remote(load, ownDataCentre) * REMOTE_COST + load.serviceMillis();
		}
	},

	/** The runner with the most free slots, wherever it stands. */
	LEAST_BUSY {
		@Override
		protected long runnerCost(RunnerLoad load, DataCentre ownDataCentre) {
			return -load.freeSlots();
		}
	};

	private static final long REMOTE_COST = 1_000_000_000L;

	/**
	 * Chooses a runner.
	 * @param candidates runners with a free slot
	 * @param localDataCentre where this entry host stands
	 * @param random breaks ties
	 * @return a cheapest candidate, if there is any
	 */
	public Optional<RunnerLoad> chooseRunner(List<RunnerLoad> candidates, DataCentre localDataCentre,
			RandomGenerator random) {
		return cheapest(candidates, (load) -> runnerCost(load, localDataCentre), random);
	}

	/**
	 * Chooses another entry host whose expected wait and round trip are shorter than the
	 * wait here: the better of two drawn at random. If all entry hosts chose the best one
	 * of the same status, they would all send to it until the next status.
	 * @param candidates the other entry hosts
	 * @param localDataCentre where this entry host stands
	 * @param ownWaitMillis expected wait here
	 * @param costs round trips
	 * @param random draws the two
	 * @return the entry host, if forwarding saves time
	 */
	public Optional<PeerLoad> choosePeer(List<PeerLoad> candidates, DataCentre localDataCentre, long ownWaitMillis,
			PeerRoundTripTimes costs, RandomGenerator random) {
		List<PeerLoad> better = candidates.stream()
			.filter((load) -> load.expectedWaitMillis() != Long.MAX_VALUE)
			.filter((load) -> peerCost(load, localDataCentre, costs) < ownWaitMillis)
			.toList();
		return betterOfTwo(better, (load) -> peerCost(load, localDataCentre, costs), random);
	}

	/**
	 * Weighs a runner.
	 * @param load the runner
	 * @param localDataCentre where this entry host stands
	 * @return the cost; the lowest is chosen
	 */
	protected abstract long runnerCost(RunnerLoad load, DataCentre localDataCentre);

	private static long remote(RunnerLoad load, DataCentre localDataCentre) {
		return load.runner().dataCentre().equals(localDataCentre) ? 0 : 1;
	}

	private static long peerCost(PeerLoad load, DataCentre localDataCentre, PeerRoundTripTimes costs) {
		return load.expectedWaitMillis() + costs.roundTripMillis(load.dataCentre().equals(localDataCentre));
	}

	/**
	 * Chooses the better of two candidates drawn at random; both draws may hit the same.
	 * @param <T> type of the candidates
	 * @param candidates the candidates
	 * @param cost what a candidate costs; the lower is better
	 * @param random draws the two
	 * @return the better one, if there is any candidate
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
