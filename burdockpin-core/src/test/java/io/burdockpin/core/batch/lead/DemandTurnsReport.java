package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;

import io.burdockpin.core.model.Resources;

/**
 * Prints what the hosts of a fleet are held for while the demand peaks of four queues
 * take turns, for several loads and seeds. Arguments: number of seeds, and the names of
 * the loads (all by default).
 */
public final class DemandTurnsReport {

	/** A peak needs about a third of the hosts. */
	static final DemandPeakSimulation.FleetSpec FLEET = new DemandPeakSimulation.FleetSpec(4, 247,
			new Resources(32_000, 131_072, 0), new Resources(3_100, 9_011, 0), 1_000, 0, 0, 24,
			new Resources(4_500, 9_000, 0), 3, 20, 19_000);

	private static final double MEAN_PER_SECOND = 11;

	private static final int DAY_MILLIS = 41_000;

	private DemandTurnsReport() {
	}

	/** Returns the loads by name. */
	static Map<String, DemandLoad> loads() {
		Map<String, DemandLoad> loads = new LinkedHashMap<>();
		for (int seconds : new int[] { 2, 4, 7 }) {
			loads.put("periodic-" + seconds + "s", periodic(1_000 * seconds, DAY_MILLIS));
		}
		loads.put("cycles-2s", periodic(2_000, 80_000));
		loads.put("cycles-4s", periodic(4_000, 96_000));
		loads.put("irregular", DemandLoad.irregular(MEAN_PER_SECOND, FLEET.pools(), DAY_MILLIS, 7));
		loads.put("missing-2s", periodic(2_000, DAY_MILLIS).withoutPeak(13));
		loads.put("missing-4s", periodic(4_000, DAY_MILLIS).withoutPeak(8));
		loads.put("changed", periodic(2_000, 24_000).then(periodic(3_000, 24_000)));
		return loads;
	}

	private static DemandLoad periodic(int turnMillis, int totalMillis) {
		return DemandLoad.periodic(MEAN_PER_SECOND, FLEET.pools(), turnMillis, totalMillis);
	}

	/**
	 * Prints one line for each load.
	 * @param arguments number of seeds and names of loads
	 */
	public static void main(String[] arguments) {
		int seeds = (arguments.length > 0) ? Integer.parseInt(arguments[0]) : 1;
		List<String> names = List.of(arguments).subList(Math.min(1, arguments.length), arguments.length);
		loads().forEach((name, load) -> {
			if (names.isEmpty() || names.contains(name)) {
				System.out.println(line(name, load, seeds));
			}
		});
	}

	static DemandPeakSimulation run(DemandLoad load, long seed) {
		DemandPeakSimulation fleet = new DemandPeakSimulation(FLEET, DemandPeakTests.SETTINGS, seed);
		fleet.runLoad(load);
		return fleet;
	}

	private static String line(String name, DemandLoad load, int seeds) {
		List<DemandPeakSimulation> runs = IntStream.rangeClosed(1, seeds)
			.parallel()
			.mapToObj((seed) -> run(load, seed))
			.toList();
		Map<HostUse, Long> uses = new EnumMap<>(HostUse.class);
		runs.forEach((run) -> run.hostSecondsByUse().forEach((use, seconds) -> uses.merge(use, seconds, Long::sum)));
		List<String> parts = new ArrayList<>();
		uses.forEach((use, seconds) -> parts.add(use + " " + seconds / seeds));
		List<String> shares = IntStream.range(0, FLEET.pools())
			.mapToObj((pool) -> String.format(Locale.ROOT, "%.4f",
					runs.stream().mapToDouble((run) -> run.onTimeShare(pool)).average().orElseThrow()))
			.toList();
		double hostSeconds = runs.stream().mapToLong(DemandPeakSimulation::hostSeconds).average().orElseThrow();
		double moves = runs.stream().mapToInt(DemandPeakSimulation::moves).average().orElseThrow();
		double knownSeconds = runs.stream()
			.mapToDouble((run) -> run.knownDemand().orElseThrow().hostSeconds())
			.average()
			.orElseThrow();
		double knownMoves = runs.stream()
			.mapToInt((run) -> run.knownDemand().orElseThrow().moves())
			.average()
			.orElseThrow();
		return String.format(Locale.ROOT,
				"%-12s in time %.4f, by queue %s, lowest %.4f; host-seconds %.0f, moves %.0f, units %.1f; "
						+ "known in advance: %.0f, %.0f, %.1f; reserved %.0f; %s",
				name, runs.stream().mapToDouble(DemandPeakSimulation::onTimeShare).average().orElseThrow(), shares,
				runs.stream().mapToDouble(DemandPeakSimulation::lowestOnTimeShare).min().orElseThrow(), hostSeconds,
				moves, KnownDemandPlan.units(hostSeconds, (int) moves), knownSeconds, knownMoves,
				KnownDemandPlan.units(knownSeconds, (int) knownMoves),
				runs.stream().mapToLong(DemandPeakSimulation::reservedHostSeconds).average().orElseThrow(), parts);
	}

}
