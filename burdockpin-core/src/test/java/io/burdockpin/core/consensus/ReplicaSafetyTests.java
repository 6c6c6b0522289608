package io.burdockpin.core.consensus;

import java.util.Optional;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against lost or changed commits, two leaders in a term, diverging logs and stale
 * reads under message loss, delay and duplication, network partitions, crashes, wiped
 * disks, freezes and membership changes. A failure message contains the seed of the run.
 */
class ReplicaSafetyTests {

	private static final int SEEDS = 150;

	private static final int MAXIMUM_SEEDS_PER_BUG = 400;

	private static final long FAULT_PHASE_MILLIS = 20_000;

	@Test
	void noInvariantIsViolatedAndAllVotersApplyNewEntriesAfterTheFaultsEnd() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			FakeCluster cluster = RandomFaultInjector.run(seed, InjectedBug.NONE, FAULT_PHASE_MILLIS);
			long committed = cluster.invariants().highestCommitted();
			cluster.runFor(2000);
			Truth.assertWithMessage("seed %s", seed).that(cluster.invariants().violations()).isEmpty();
			Truth.assertWithMessage("seed %s", seed).that(slowestVoterIndex(cluster)).isGreaterThan(committed);
		}
	}

	@ParameterizedTest
	@EnumSource(value = InjectedBug.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
	void theInvariantsDetectAnInjectedBug(InjectedBug bug) {
		Optional<Long> detectingSeed = LongStream.rangeClosed(1, MAXIMUM_SEEDS_PER_BUG)
			.boxed()
			.filter((seed) -> violatesInvariant(seed, bug))
			.findFirst();
		Truth.assertThat(detectingSeed.isPresent()).isTrue();
	}

	private static long slowestVoterIndex(FakeCluster cluster) {
		Membership membership = cluster.leader().orElseThrow().replica.get().status().membership();
		return membership.voters()
			.stream()
			.mapToLong((voter) -> cluster.member(voter.id().host().value()).appliedIndex)
			.min()
			.orElseThrow();
	}

	// A replica that detects the inconsistency itself throws, which counts too.
	private static boolean violatesInvariant(long seed, InjectedBug bug) {
		try {
			return !RandomFaultInjector.run(seed, bug, FAULT_PHASE_MILLIS).invariants().violations().isEmpty();
		}
		catch (IllegalStateException ex) {
			return true;
		}
	}

}
