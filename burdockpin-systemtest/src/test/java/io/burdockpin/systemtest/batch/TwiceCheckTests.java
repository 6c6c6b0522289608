package io.burdockpin.systemtest.batch;

import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.systemtest.batch.RunRecord.RunEnd;
import io.burdockpin.systemtest.batch.TwiceCheck.Shape;
import org.junit.jupiter.api.Test;

/** The check of the soak finds planted faults, and only these. */
class TwiceCheckTests {

	@Test
	void twoRunsAtTheSameTimeAreFound() {
		Truth
			.assertThat(shapes(run(0, 100, RunEnd.DONE, Optional.empty()), run(99, 200, RunEnd.DONE, Optional.empty())))
			.containsExactly(Shape.AT_THE_SAME_TIME);
	}

	@Test
	void aStartAfterAnAcknowledgedEndIsFound() {
		Truth
			.assertThat(
					shapes(run(0, 100, RunEnd.DONE, Optional.of(150L)), run(151, 200, RunEnd.DONE, Optional.empty())))
			.containsExactly(Shape.AFTER_AN_ACKNOWLEDGED_END);
	}

	@Test
	void aStartAfterAnEndThatNobodyAcknowledgedIsAllowed() {
		Truth
			.assertThat(
					shapes(run(0, 100, RunEnd.DONE, Optional.empty()), run(100, 200, RunEnd.DONE, Optional.of(300L))))
			.isEmpty();
	}

	@Test
	void aStartAfterALapsedRunIsAllowed() {
		Truth
			.assertThat(
					shapes(run(0, 100, RunEnd.LAPSED, Optional.of(150L)), run(151, 200, RunEnd.DONE, Optional.empty())))
			.isEmpty();
	}

	private static List<Shape> shapes(RunRecord... records) {
		return TwiceCheck.violations(List.of(records))
			.values()
			.stream()
			.flatMap(List::stream)
			.map(TwiceCheck.Twice::shape)
			.toList();
	}

	private static RunRecord run(long startNanos, long endNanos, RunEnd end, Optional<Long> acknowledgedNanos) {
		return new RunRecord("job.0.0.0", 1, "i-1", 0, 1, 0, startNanos, endNanos, Optional.of(end), acknowledgedNanos);
	}

}
