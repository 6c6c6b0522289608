package io.burdockpin.benchmark.policy;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against planners that break a promise under any mix of incidents. */
class PolicyInvariantTests {

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
	void theFleetOfQuillcaKeepsItsPromisesThroughAllIncidents(long seed) {
		runWithInvariants(Scenario.standard(Firm.QUILLCA).withSeed(seed).withDuration(600_000));
	}

	@ParameterizedTest
	@ValueSource(longs = { 11, 12, 13, 14 })
	void theFleetOfNadifaKeepsItsPromisesThroughAllIncidents(long seed) {
		runWithInvariants(Scenario.standard(Firm.NADIFA).withSeed(seed).withDuration(600_000));
	}

	private static void runWithInvariants(Scenario scenario) {
		ScenarioRun run = new ScenarioRun(scenario, PolicyKind.PLANNERS, PolicyKind.PLANNERS.create(scenario.firm()));
		Invariants invariants = new Invariants(run);
		run.run();
		invariants.checkNoJobIsLost();
	}

}
