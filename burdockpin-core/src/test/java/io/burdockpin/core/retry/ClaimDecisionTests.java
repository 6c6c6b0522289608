package io.burdockpin.core.retry;

import java.util.OptionalLong;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a request that runs twice, and against a refusal that says that a
 * request has not run although another entry host ran it, when proposals of claims are
 * lost or committed late.
 */
class ClaimDecisionTests {

	private static final int SEEDS = 20_000;

	@Test
	void lostAndLateProposalsNeverRunARequestTwiceNorDenyThatItRan() {
		long grantedAgain = LongStream.range(0, SEEDS)
			.filter((seed) -> new SimulatedClaims(seed, ClaimFault.NONE).run())
			.count();
		System.out.printf("%d of %d requests ran after an undecided claim%n", grantedAgain, SEEDS);
		Truth.assertThat(grantedAgain).isGreaterThan(0);
	}

	@ParameterizedTest
	@EnumSource(value = ClaimFault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
	void aPlantedFaultIsNoticed(ClaimFault fault) {
		OptionalLong noticed = LongStream.range(0, SEEDS).filter((seed) -> isNoticed(seed, fault)).findFirst();
		System.out.printf("%s is noticed by seed %s%n", fault, noticed);
		Truth.assertThat(noticed.isPresent()).isTrue();
	}

	private static boolean isNoticed(long seed, ClaimFault fault) {
		try {
			new SimulatedClaims(seed, fault).run();
			return false;
		}
		catch (AssertionError ex) {
			return true;
		}
	}

}
