package io.burdockpin.core.batch.lead.explore;

import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/**
 * Runs the scheduler through sequences of actions that the users' pages allow, checks
 * each start against the rules for jobs, and requires that nothing is overdue afterwards.
 * For more sequences by hand, set the system properties {@code fleet.firstSeed} and
 * {@code fleet.sequences}.
 */
class FleetSequenceTests {

	private static final int DEFAULT_SEQUENCES = 200;

	/** Sequences that failed before the fault that they show was mended. */
	private static final List<Long> REGRESSION_SEEDS = List.of(330L, 354L, 482L, 582L, 693L, 738L, 2062L);

	@Test
	void noSequenceBreaksARuleOrLeavesAnythingOverdue() {
		long firstSeed = Long.getLong("fleet.firstSeed", 0);
		long sequences = Long.getLong("fleet.sequences", DEFAULT_SEQUENCES);
		for (long seed = firstSeed; seed < firstSeed + sequences; seed++) {
			requireNoFailure(seed);
		}
	}

	@Test
	void sequencesThatFailedBeforeBreakNoRuleAndLeaveNothingOverdue() {
		REGRESSION_SEEDS.forEach(FleetSequenceTests::requireNoFailure);
	}

	private static void requireNoFailure(long seed) {
		FleetSequence sequence = FleetSequence.of(seed);
		List<String> failures = sequence.failures();
		if (!failures.isEmpty()) {
			Truth.assertWithMessage("seed %s, shortest sequence %s", seed, sequence.shrink()).that(failures).isEmpty();
		}
	}

}
