package io.burdockpin.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import org.junit.jupiter.api.Test;

/** Guards against all entry hosts forwarding to the same one between two statuses. */
class RoutingPolicyTests {

	private static final DataCentre LOCAL = new DataCentre("dc1");

	private static final PeerRoundTripTimes ROUND_TRIP_TIMES = new PeerRoundTripTimes(1, 5);

	private static final int DRAWS = 3_000;

	private final RandomGenerator random = new SplittableRandom(5);

	@Test
	void noEntryHostGetsMoreThanTwoThirdsOfTheChoicesByOneStatus() {
		List<PeerLoad> loads = List.of(load("a", 0, 1), load("b", 0, 2), load("c", 0, 3));
		Map<String, Long> counts = IntStream.range(0, DRAWS)
			.mapToObj((draw) -> choose(loads, 1_000).orElseThrow())
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
		// The best of three is among two draws with replacement in 5 of 9 cases.
		Truth.assertThat(counts.get("a")).isLessThan(DRAWS * 2L / 3);
		Truth.assertThat(counts.get("c")).isGreaterThan(0L);
	}

	@Test
	void anEntryHostIsNotChosenIfTheLocalWaitIsShorter() {
		List<PeerLoad> loads = List.of(load("a", 0, 50), load("b", 0, 60));
		Truth.assertThat(choose(loads, 10)).isEqualTo(Optional.empty());
	}

	@Test
	void noEntryHostIsChosenWhenNoneIsKnown() {
		Truth.assertThat(choose(List.of(), 10)).isEqualTo(Optional.empty());
	}

	private Optional<String> choose(List<PeerLoad> loads, long localWaitMillis) {
		return RoutingPolicy.NEAREST_THEN_LEAST_BUSY
			.choosePeer(loads, LOCAL, localWaitMillis, ROUND_TRIP_TIMES, this.random)
			.map((load) -> load.host().value());
	}

	private static PeerLoad load(String host, int freeSlots, int waiting) {
		return new PeerLoad(new HostName(host), LOCAL, 1, 8, freeSlots, waiting, 80);
	}

}
