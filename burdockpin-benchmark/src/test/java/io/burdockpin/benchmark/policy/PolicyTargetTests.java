package io.burdockpin.benchmark.policy;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against changes of policy that miss a stated target or fall behind a baseline.
 * Every figure is a count or a virtual time, so the verdict is the same in each run.
 */
class PolicyTargetTests {

	/** The stated target for urgent work. */
	private static final long URGENT_START_MILLIS = 3_000;

	@ParameterizedTest
	@EnumSource(names = { "QUILLCA", "NADIFA" })
	void theFirmsComparisonWithTheBaselinesHolds(Firm firm) {
		Comparison comparison = Comparison.run(Scenario.standard(firm));
		RunResult planners = comparison.results().get(PolicyKind.PLANNERS);
		RunResult firstFit = comparison.results().get(PolicyKind.FIRST_FIT);
		RunResult bestFit = comparison.results().get(PolicyKind.BEST_FIT);
		Truth.assertThat(planners.urgentStartP99Millis()).isAtMost(URGENT_START_MILLIS);
		Truth.assertThat(planners.rolloutCompleted()).isTrue();
		Truth.assertThat(planners.rolloutMillis()).isLessThan(firstFit.rolloutMillis());
		Truth.assertThat(planners.shareNearnessPercent()).isGreaterThan(bestFit.shareNearnessPercent());
		Truth.assertThat(planners.shareNearnessPercent()).isGreaterThan(firstFit.shareNearnessPercent());
		Truth.assertThat(planners.bufferPercent()).isLessThan(bestFit.bufferPercent());
		Truth.assertThat(planners.bufferPercent()).isLessThan(firstFit.bufferPercent());
		Truth.assertThat(planners.finishedCount()).isGreaterThan(bestFit.finishedCount());
	}

	@Test
	void urgentWorkStartsInTimeInTheFleetOfTwoYears() {
		Scenario scenario = new Scenario(Firm.TWO_YEARS, 42, 60_000, 0.7, false, false);
		RunResult result = new ScenarioRun(scenario, PolicyKind.PLANNERS, PolicyKind.PLANNERS.create(Firm.TWO_YEARS))
			.run();
		Truth.assertThat(result.urgentStartCount()).isAtLeast(100);
		Truth.assertThat(result.urgentStartP99Millis()).isAtMost(URGENT_START_MILLIS);
	}

	@Test
	void theSameSeedGivesTheSameRun() {
		Scenario scenario = Scenario.standard(Firm.QUILLCA).withDuration(240_000);
		Truth.assertThat(Comparison.run(scenario)).isEqualTo(Comparison.run(scenario));
	}

}
