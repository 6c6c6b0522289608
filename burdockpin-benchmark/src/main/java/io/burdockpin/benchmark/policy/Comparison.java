package io.burdockpin.benchmark.policy;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The results of all policies in one scenario. Immutable.
 *
 * @param scenario the scenario
 * @param results the result of each policy
 */
record Comparison(Scenario scenario, Map<PolicyKind, RunResult> results) {

	/**
	 * Runs all policies side by side. Each run has its own fleet, so the results do not
	 * depend on the order.
	 * @param scenario the scenario
	 * @return the results
	 */
	static Comparison run(Scenario scenario) {
		Map<PolicyKind, RunResult> results = Arrays.stream(PolicyKind.values())
			.parallel()
			.collect(Collectors.toConcurrentMap(Function.identity(),
					(kind) -> new ScenarioRun(scenario, kind, kind.create(scenario.firm())).run()));
		return new Comparison(scenario, new EnumMap<>(results));
	}

}
