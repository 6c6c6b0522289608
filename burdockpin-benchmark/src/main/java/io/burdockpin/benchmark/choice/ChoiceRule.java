package io.burdockpin.benchmark.choice;

import java.util.List;
import java.util.random.RandomGenerator;

import io.burdockpin.core.routing.PeerLoad;
import io.burdockpin.core.routing.RoutingPolicy;

/** How an entry host chooses the one that gets a request. */
enum ChoiceRule {

	/** The shortest expected wait, corrected for what this host sent since the status. */
	SHORTEST_WAIT {
		@Override
		PeerLoad choose(List<PeerLoad> loads, RandomGenerator random) {
			long shortestMillis = loads.stream().mapToLong(PeerLoad::expectedWaitMillis).min().orElseThrow();
			List<PeerLoad> best = loads.stream().filter((load) -> load.expectedWaitMillis() == shortestMillis).toList();
			return best.get(random.nextInt(best.size()));
		}
	},

	/** The shortest expected wait four times in five, otherwise any host. */
	SHORTEST_WAIT_PARTLY_RANDOM {
		@Override
		PeerLoad choose(List<PeerLoad> loads, RandomGenerator random) {
			ChoiceRule rule = (random.nextInt(5) == 0) ? RANDOM : SHORTEST_WAIT;
			return rule.choose(loads, random);
		}
	},

	/** The better of two hosts drawn at random. */
	BETTER_OF_TWO {
		@Override
		PeerLoad choose(List<PeerLoad> loads, RandomGenerator random) {
			return RoutingPolicy.betterOfTwo(loads, PeerLoad::expectedWaitMillis, random).orElseThrow();
		}
	},

	/** Any host. */
	RANDOM {
		@Override
		PeerLoad choose(List<PeerLoad> loads, RandomGenerator random) {
			return loads.get(random.nextInt(loads.size()));
		}
	};

	/**
	 * Chooses a host.
	 * @param loads what is known of the hosts
	 * @param random source of chance
	 * @return the chosen host
	 */
	abstract PeerLoad choose(List<PeerLoad> loads, RandomGenerator random);

}
