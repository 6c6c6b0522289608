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
	private static final List<Integer> RUNNERS = List.of(6, 20, 55, 110);

	private CapacityBenchmark() {
	}

	/**
	 * Runs the measurements.
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
		for (int point = 0; point < RUNNERS.size(); point++) {
			measurements.addAll(decisionCosts.measure(FleetSize.measured().get(point), RUNNERS.get(point)));
		}
		System.out.println("| quantity | size | value |");
		System.out.println("| --- | --- | --- |");
		measurements.forEach((measurement) -> System.out.println(measurement.toMarkdownRow()));
	}

}
