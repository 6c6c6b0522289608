package io.burdockpin.benchmark.policy;

import java.util.EnumMap;
import java.util.Map;

/**
 * The results of all policies in one scenario. Immutable.
 *
 * @param scenario the scenario
 * @param results the result of each policy
 */
record Comparison(Scenario scenario, Map<PolicyKind, RunResult> results) {

	static Comparison run(Scenario scenario) {
		Map<PolicyKind, RunResult> results = new EnumMap<>(PolicyKind.class);
		for (PolicyKind kind : PolicyKind.values()) {
			results.put(kind, new ScenarioRun(scenario, kind, kind.create(scenario.firm())).run());
		}
		return new Comparison(scenario, results);
	}

}
