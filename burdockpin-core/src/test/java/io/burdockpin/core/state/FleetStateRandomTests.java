package io.burdockpin.core.state;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against sequences of commands that violate an invariant or make replicas
 * diverge.
 */
class FleetStateRandomTests {

	private static final int SEEDS = 60;

	private static final int STEPS = 1200;

	@Test
	void randomCommandsKeepEveryInvariantAndReplicasEqual() {
		Set<Class<?>> accepted = new HashSet<>();
		for (long seed = 0; seed < SEEDS; seed++) {
			run(seed, StateFault.NONE, accepted);
		}
		Set<Class<?>> missing = commandTypes(Command.class);
		missing.removeAll(accepted);
		Truth.assertWithMessage("commands that were never accepted").that(missing).isEmpty();
	}

	@ParameterizedTest
	@EnumSource(value = StateFault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
	void anInjectedFaultIsDetected(StateFault fault) {
		boolean detected = LongStream.range(0, SEEDS).anyMatch((seed) -> isDetected(seed, fault));
		Truth.assertWithMessage("one of %s seeds detects %s", SEEDS, fault).that(detected).isTrue();
	}

	private static boolean isDetected(long seed, StateFault fault) {
		try {
			run(seed, fault, new HashSet<>());
			return false;
		}
		catch (AssertionError ex) {
			return true;
		}
	}

	private static void run(long seed, StateFault fault, Set<Class<?>> accepted) {
		RandomGenerator random = new SplittableRandom(seed);
		FleetState first = FleetState.empty();
		FleetState second = FleetState.empty();
		RandomProposals proposals = new RandomProposals(random, first);
		StateInvariants invariants = new StateInvariants();
		FleetSnapshot before = first.snapshot();
		for (int index = 1; index <= STEPS; index++) {
			Proposal proposal = proposals.next();
			CommandResult result = first.apply(index, fault.proposal(proposal, 0));
			CommandResult other = second.apply(index, fault.proposal(proposal, 400));
			if (random.nextInt(50) == 0) {
				second = FleetState.restore(fault.snapshot(second.snapshot()));
			}
			FleetSnapshot after = first.snapshot();
			Truth.assertWithMessage("results at %s of seed %s", index, seed).that(other).isEqualTo(result);
			Truth.assertWithMessage("states at %s of seed %s", index, seed).that(second.snapshot()).isEqualTo(after);
			invariants.check(before, proposal, result, after);
			before = after;
			if (result.isAccepted()) {
				accepted.add(proposal.command().getClass());
			}
		}
	}

	private static Set<Class<?>> commandTypes(Class<?> sealed) {
		Set<Class<?>> types = new HashSet<>();
		for (Class<?> type : sealed.getPermittedSubclasses()) {
			types.addAll(type.isSealed() ? commandTypes(type) : Set.of(type));
		}
		return types;
	}

}
