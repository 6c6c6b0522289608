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

	/**
	 * Ten minutes of the large fleet take about as long as both small fleets together.
	 */
	private static final long LARGE_DURATION_MILLIS = 600_000;

	private PolicyBenchmark() {
	}

	/**
	 * Runs the benchmark.
	 * @param args the folder for the results, or nothing for
	 * {@code target/policy-benchmark}
	 */
	public static void main(String[] args) {
		Path folder = (args.length > 0) ? Path.of(args[0]) : DEFAULT_FOLDER;
		List<Comparison> comparisons = new ArrayList<>();
		comparisons.add(Comparison.run(Scenario.standard(Firm.QUILLCA)));
		comparisons.add(Comparison.run(Scenario.standard(Firm.NADIFA)));
		comparisons.add(Comparison.run(Scenario.standard(Firm.TWO_YEARS).withDuration(LARGE_DURATION_MILLIS)));
		RoundCost roundCost = new RoundCost();
		List<RoundCost.Cost> costs = RoundCost.Size.measured().stream().map(roundCost::measure).toList();
		ReportWriter writer = new ReportWriter();
		writer.write(folder, comparisons, costs);
		System.out.println(writer.markdown(comparisons, costs));
	}

}
