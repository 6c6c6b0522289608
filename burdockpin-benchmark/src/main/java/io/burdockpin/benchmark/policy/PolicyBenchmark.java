package io.burdockpin.benchmark.policy;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Compares the planners with two baselines for each firm and measures the processor time
 * of their rounds. The run time is bounded by the virtual length of the scenarios.
 */
public final class PolicyBenchmark {

	private static final Path DEFAULT_FOLDER = Path.of("target", "policy-benchmark");

	private PolicyBenchmark() {
	}

	/**
	 * Runs the benchmark.
	 * @param args the folder for the results (default {@code target/policy-benchmark})
	 * and the seed of the scenarios (default 42)
	 */
	public static void main(String[] args) {
		Path folder = (args.length > 0) ? Path.of(args[0]) : DEFAULT_FOLDER;
		List<Comparison> comparisons = new ArrayList<>();
		for (Firm firm : Firm.values()) {
			comparisons.add(Comparison.run(scenario(firm, args)));
		}
		RoundCost roundCost = new RoundCost();
		// The first measurement would show the compiler at work.
		roundCost.measure(RoundCost.Size.measured().get(0));
		List<RoundCost.Cost> costs = RoundCost.Size.measured().stream().map(roundCost::measure).toList();
		ReportWriter writer = new ReportWriter();
		writer.write(folder, comparisons, costs);
		System.out.println(writer.markdown(comparisons, costs));
	}

	private static Scenario scenario(Firm firm, String[] args) {
		Scenario standard = Scenario.standard(firm);
		return (args.length > 1) ? standard.withSeed(Long.parseLong(args[1])) : standard;
	}

}
