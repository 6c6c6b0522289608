package io.burdockpin.core.routing;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/**
 * Guards slots, truthful outcomes and at-most-once for many orders of events, and shows
 * that each check can fail.
 */
class RequestPathInvariantTests {

	private static final int SEEDS = 200;

	private static final int STEPS = 400;

	@Test
	void slotsAndOutcomesAndClaimsHoldInEveryOrderOfEvents() {
		for (long seed = 0; seed < SEEDS; seed++) {
			new RequestPathSimulation(seed, InjectedFault.NONE, 0.3).run(STEPS);
		}
	}

	@Test
	void aSlotThatIsFreedTooEarlyIsFound() {
		Truth.assertThat(isFound(InjectedFault.FREES_SLOT_OF_UNKNOWN_ATTEMPT)).isTrue();
	}

	@Test
	void aSecondExecutionOfARequestThatIsNotRepeatableIsFound() {
		Truth.assertThat(isFound(InjectedFault.RETRIES_REQUESTS_THAT_ARE_NOT_REPEATABLE)).isTrue();
	}

	@Test
	void anUntrueNotRunIsFound() {
		Truth.assertThat(isFound(InjectedFault.REPORTS_LOST_ANSWER_AS_NOT_RUN)).isTrue();
	}

	@Test
	void aRequestThatIsNeverAnsweredIsFound() {
		Truth.assertThat(isFound(InjectedFault.FORGETS_EXPIRED_REQUESTS)).isTrue();
	}

	private static boolean isFound(InjectedFault fault) {
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
