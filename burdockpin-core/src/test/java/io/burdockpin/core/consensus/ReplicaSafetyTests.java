package io.burdockpin.core.consensus;

import java.util.Optional;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against lost or changed commits, two leaders in a term, logs that differ and
 * stale reads, under random loss, delay, duplicates, cuts, crashes, wiped disks, freezes
 * and membership changes. The seeds of a failing run are in its message.
 */
class ReplicaSafetyTests {

	private static final int SEEDS = 150;

	private static final int SEEDS_TO_CATCH_A_FAULT = 400;

	private static final long TROUBLE_MILLIS = 20_000;

	@Test
	void noInvariantBreaksAndAllMembersServeAgainOnceTheTroubleIsOver() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			FakeCluster cluster = RandomTrouble.run(seed, Fault.NONE, TROUBLE_MILLIS);
			long committed = cluster.invariants().highestCommitted();
			cluster.runFor(2000);
			Truth.assertWithMessage("seed %s", seed).that(cluster.invariants().violations()).isEmpty();
			Truth.assertWithMessage("seed %s", seed).that(slowestVoterIndex(cluster)).isGreaterThan(committed);
		}
	}

	@ParameterizedTest
	@EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
	void theInvariantsCatchAPlantedFault(Fault fault) {
		Optional<Long> caught = LongStream.rangeClosed(1, SEEDS_TO_CATCH_A_FAULT)
			.boxed()
			.filter((seed) -> breaks(seed, fault))
			.findFirst();
		Truth.assertThat(caught.isPresent()).isTrue();
	}

	private static long slowestVoterIndex(FakeCluster cluster) {
		Membership membership = cluster.leader().orElseThrow().replica.get().status().membership();
		return membership.voters()
			.stream()
			.mapToLong((voter) -> cluster.member(voter.id().host().value()).appliedIndex)
			.min()
			.orElseThrow();
	}

	// A replica that finds its own log broken throws, which also counts as caught.
	private static boolean breaks(long seed, Fault fault) {
		try {
			return !RandomTrouble.run(seed, fault, TROUBLE_MILLIS).invariants().violations().isEmpty();
		}
		catch (IllegalStateException ex) {
			return true;
		}
	}

}
