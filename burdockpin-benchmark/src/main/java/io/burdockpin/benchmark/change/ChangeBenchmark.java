package io.burdockpin.benchmark.change;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * Measures with real processes on loopback addresses: how long accepted changes take to
 * be in force on seven entry hosts, how many changes a second are accepted and what they
 * cost, and how long a member takes to start on its log. All runs are bounded in count
 * and time. Used by the main thread.
 */
public final class ChangeBenchmark {

	private static final int TIMED_CHANGES = 200;

	private static final List<Integer> OPERATORS = List.of(1, 4, 16);

	private static final int CHANGES_PER_ROW = 400;

	private static final List<Integer> LOG_ENTRIES = List.of(100, 4096, 20_000, 100_000);

	private static final int RECOVERY_RUNS = 3;

	private ChangeBenchmark() {
	}

	/**
	 * Runs all measurements and prints tables.
	 * @param args a folder for data and logs
	 * @throws IOException if the folder cannot be created
	 */
	public static void main(String[] args) throws IOException {
		if (args.length != 1) {
			System.err.println("usage: ChangeBenchmark FOLDER");
			System.exit(2);
		}
		Path folder = Files.createDirectories(Path.of(args[0]).toAbsolutePath());
		PrintStream output = System.out;
		try (RealFleet fleet = new RealFleet(Files.createTempDirectory(folder, "fleet-"))) {
			fleet.start();
			ChangeRun run = new ChangeRun(fleet);
			Histogram millis = run.inForceMillis(TIMED_CHANGES);
			output.println("in force on %d entry hosts, %d changes: p50 %d ms, p95 %d ms, p99 %d ms, largest %d ms"
				.formatted(RealFleet.ENTRIES, millis.getTotalCount(), millis.getValueAtPercentile(50),
						millis.getValueAtPercentile(95), millis.getValueAtPercentile(99), millis.getMaxValue()));
			output.println("| operators | changes | changes/s | bytes on disk a change and member"
					+ " | bytes sent a change, all processes | bytes sent a second without changes |");
			output.println("| ---: | ---: | ---: | ---: | ---: | ---: |");
			OPERATORS.forEach((operators) -> output.println(run.row(operators, CHANGES_PER_ROW)));
		}
		output.println("| log entries | start until applied, ms, shortest to longest of %d |".formatted(RECOVERY_RUNS));
		output.println("| ---: | ---: |");
		for (int entries : LOG_ENTRIES) {
			List<Long> millis = new ArrayList<>();
			for (int run = 0; run < RECOVERY_RUNS; run++) {
				millis.add(RecoveryRun.millis(Files.createTempDirectory(folder, "recovery-"), entries));
			}
			output.println("| %d | %d to %d |".formatted(entries, Collections.min(millis), Collections.max(millis)));
		}
		System.exit(0);
	}

}
