package io.burdockpin.benchmark.policy;

import java.util.Optional;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against invariant checks that would pass whatever the planners do. */
class PlantedFaultTests {

	@ParameterizedTest
	@CsvSource({ "IGNORES_LEASES, runs twice", "IGNORES_BUDGETS, hosts out", "PARKS_WAITING_JOBS, fits a host",
			"RESTARTS_JOBS_THAT_ARE_NOT_REPEATABLE, is not repeatable" })
	void theInvariantsFindAPlantedFault(PlantedFault fault, String expected) {
		Scenario scenario = Scenario.standard(Firm.QUILLCA).withSeed(1).withDuration(600_000);
		Policy faulty = fault.plantIn(PolicyKind.PLANNERS.create(scenario.firm()));
		ScenarioRun run = new ScenarioRun(scenario, PolicyKind.PLANNERS, faulty);
		Invariants invariants = new Invariants(run);
		Optional<AssertionError> failure = failureOf(() -> {
			run.run();
			invariants.checkNoJobIsLost();
		});
		Truth.assertThat(failure.map(Throwable::getMessage).orElse("no failure")).contains(expected);
	}

	private static Optional<AssertionError> failureOf(Runnable action) {
		try {
			action.run();
			return Optional.empty();
		}
		catch (AssertionError ex) {
			return Optional.of(ex);
		}
	}

}
