package io.burdockpin.benchmark.capacity;

import java.util.ArrayList;
import java.util.List;

import io.burdockpin.codec.thrift.impl.ThriftClientCodec;
import io.burdockpin.codec.thrift.impl.ThriftConsensusCodec;
import io.burdockpin.codec.thrift.impl.ThriftFleetSnapshotCodec;
import io.burdockpin.codec.thrift.impl.ThriftPeerCodec;

/**
 * Prints the values from which the capacity page works out its slopes, as a Markdown
 * table.
 */
public final class CapacityBenchmark {

	/**
	 * Runners attached to one entry host today and in two years, 7 entry hosts in both.
	 */
	private static final int BOUND_EXCEEDED = 1;

	private static final List<Integer> RUNNERS = List.of(6, 20, 55, 110);

	private CapacityBenchmark() {
	}

	/**
	 * Runs the measurements. The exit status is 1 if the cost of a decision grows faster
	 * than the size.
	 * @param args not used
	 */
	public static void main(String[] args) {
		List<Measurement> measurements = new ArrayList<>();
		StateSizes stateSizes = new StateSizes(new ThriftFleetSnapshotCodec());
		FleetSize.measured().forEach((size) -> measurements.addAll(stateSizes.measure(size)));
		measurements.addAll(
				new MessageSizes(new ThriftClientCodec(), new ThriftPeerCodec(), new ThriftConsensusCodec()).measure());
		DecisionCosts decisionCosts = new DecisionCosts();
		// Compiles the code that the smallest size would otherwise run interpreted.
		decisionCosts.measure(FleetSize.TWO_YEARS, RUNNERS.get(0));
		List<List<Measurement>> costs = new ArrayList<>();
		for (int point = 0; point < RUNNERS.size(); point++) {
			costs.add(decisionCosts.measure(FleetSize.measured().get(point), RUNNERS.get(point)));
		}
		costs.forEach(measurements::addAll);
		System.out.println("| quantity | size | value |");
		System.out.println("| --- | --- | --- |");
		measurements.forEach((measurement) -> System.out.println(measurement.toMarkdownRow()));
		if (!reportGrowth(costs.get(0), costs.get(costs.size() - 1))) {
			System.exit(BOUND_EXCEEDED);
		}
	}

	private static boolean reportGrowth(List<Measurement> smallest, List<Measurement> largest) {
		double sizeRatio = (double) FleetSize.TWO_YEARS.teams() / FleetSize.TODAY.teams();
		List<CostGrowth> growths = CostGrowth.between(smallest, largest, sizeRatio);
		System.out.println();
		System.out.println("| decision | growth of the cost | growth of the size | within the bound |");
		System.out.println("| --- | --- | --- | --- |");
		growths.forEach((growth) -> System.out.println(growth.toMarkdownRow()));
		return growths.stream().allMatch(CostGrowth::isWithinBound);
	}

}
