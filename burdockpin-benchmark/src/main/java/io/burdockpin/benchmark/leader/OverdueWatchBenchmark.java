package io.burdockpin.benchmark.leader;

import java.util.List;
import java.util.Locale;

/** Prints the processor time of the leader's watch for overdue work as a table. */
public final class OverdueWatchBenchmark {

	private static final int BOUND_EXCEEDED = 1;

	private static final double MAXIMUM_PERCENT = 1;

	private static final long MEASURED_MILLIS = 60_000;

	private static final List<LeaderRun.Load> LOADS = List.of(new LeaderRun.Load(770, 20, 0),
			new LeaderRun.Load(770, 100, 0), new LeaderRun.Load(770, 100, 200), new LeaderRun.Load(385, 50, 0));

	private OverdueWatchBenchmark() {
	}

	/**
	 * Runs the measurements. The exit status is 1 if the watch uses 1% of the leader's
	 * processor time or more, or reports something although there are no faults.
	 * @param args not used
	 */
	public static void main(String[] args) {
		// Compiles the code that the first load would otherwise run interpreted.
		new LeaderRun(LOADS.get(0)).run(MEASURED_MILLIS);
		List<LeaderRun.Cost> costs = LOADS.stream().map((load) -> new LeaderRun(load).run(MEASURED_MILLIS)).toList();
		System.out.println("| runners | jobs a second | jobs without room | runs | leader ms/s | watch ms/s | share |");
		System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
		costs.forEach((cost) -> System.out.println(toMarkdownRow(cost)));
		if (costs.stream().anyMatch((cost) -> cost.watchPercent() >= MAXIMUM_PERCENT || cost.reports() > 0)) {
			System.exit(BOUND_EXCEEDED);
		}
	}

	private static String toMarkdownRow(LeaderRun.Cost cost) {
		return String.format(Locale.ROOT, "| %d | %d | %d | %d | %.1f | %.2f | %.2f%% |", cost.load().runners(),
				cost.load().jobsPerSecond(), cost.load().waitingJobs(), cost.runs(), cost.leaderMillis(),
				cost.watchMillis(), cost.watchPercent());
	}

}
