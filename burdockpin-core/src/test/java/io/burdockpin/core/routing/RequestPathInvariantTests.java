package io.burdockpin.core.routing;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/**
 * Guards the slot limits, truthful outcomes and at-most-once execution in many orders of
 * events, and shows by injected faults that each check can fail.
 */
class RequestPathInvariantTests {

	private static final int SEEDS = 200;

	private static final int STEPS = 400;

	@Test
	void slotsAndOutcomesAndClaimsAreCorrectInEveryOrderOfEvents() {
		for (long seed = 0; seed < SEEDS; seed++) {
			new RequestPathSimulation(seed, InjectedFault.NONE, 0.3).run(STEPS);
		}
	}

	@Test
	void aSlotThatIsFreedTooEarlyIsDetected() {
		Truth.assertThat(isDetected(InjectedFault.FREES_SLOT_OF_UNKNOWN_ATTEMPT)).isTrue();
	}

	@Test
	void aSecondExecutionOfARequestThatIsNotRepeatableIsDetected() {
		Truth.assertThat(isDetected(InjectedFault.RETRIES_REQUESTS_THAT_ARE_NOT_REPEATABLE)).isTrue();
	}

	@Test
	void aFalseNotRunOutcomeIsDetected() {
		Truth.assertThat(isDetected(InjectedFault.REPORTS_LOST_RESPONSE_AS_NOT_RUN)).isTrue();
	}

	@Test
	void aRequestWithoutAResponseIsDetected() {
		Truth.assertThat(isDetected(InjectedFault.IGNORES_EXPIRED_REQUESTS)).isTrue();
	}

	private static boolean isDetected(InjectedFault fault) {
		for (long seed = 0; seed < SEEDS; seed++) {
			try {
				new RequestPathSimulation(seed, fault, 0.3).run(STEPS);
			}
			catch (AssertionError ex) {
				return true;
			}
		}
		return false;
	}

}
