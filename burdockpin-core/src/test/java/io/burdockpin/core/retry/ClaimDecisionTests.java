package io.burdockpin.core.retry;

import java.util.OptionalLong;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a request that runs twice, and against a refusal with the outcome "not
 * run" for a request that another entry host has run. Both could happen when proposals of
 * claims are lost or committed late.
 */
class ClaimDecisionTests {

	private static final int SEEDS = 20_000;

	@Test
	void lostAndLateProposalsNeitherRunARequestTwiceNorReportARunRequestAsNotRun() {
		long ranAfterUndecided = LongStream.range(0, SEEDS)
			.filter((seed) -> new SimulatedClaims(seed, ClaimFault.NONE).run())
			.count();
		System.out.printf("%d of %d requests ran after an undecided claim%n", ranAfterUndecided, SEEDS);
		Truth.assertThat(ranAfterUndecided).isGreaterThan(0);
	}

	@ParameterizedTest
	@EnumSource(value = ClaimFault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
	void anInjectedFaultIsDetected(ClaimFault fault) {
		OptionalLong detected = LongStream.range(0, SEEDS).filter((seed) -> isDetected(seed, fault)).findFirst();
		System.out.printf("%s is detected with seed %s%n", fault, detected);
		Truth.assertThat(detected.isPresent()).isTrue();
	}

	private static boolean isDetected(long seed, ClaimFault fault) {
		try {
			new SimulatedClaims(seed, fault).run();
			return false;
		}
		catch (AssertionError ex) {
			return true;
		}
	}

}
