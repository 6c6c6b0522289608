package io.burdockpin.benchmark.change;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

import io.burdockpin.benchmark.change.RecoveryRun.Recovery;
import org.HdrHistogram.Histogram;

/** What the benchmark measures; each part prints a line or a table. */
enum ChangePart {

	/** Changes on seven entry hosts: time to be in force, rate, bytes. */
	CHANGES {
		@Override
		void run(Path folder, PrintStream output) throws IOException {
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
		}
	},

	/** The start of a member on logs of different lengths. */
	RECOVERY {
		@Override
		void run(Path folder, PrintStream output) throws IOException {
			output.println("| log entries | start until applied, ms, shortest to longest of %d".formatted(RECOVERY_RUNS)
					+ " | processor time, ms, shortest to longest |");
			output.println("| ---: | ---: | ---: |");
			for (int entries : LOG_ENTRIES) {
				List<Recovery> runs = new ArrayList<>();
				for (int run = 0; run < RECOVERY_RUNS; run++) {
					runs.add(RecoveryRun.run(Files.createTempDirectory(folder, "recovery-"), entries));
				}
				output.println("| %d | %s | %s |".formatted(entries, range(runs, Recovery::elapsedMillis),
						range(runs, Recovery::processorMillis)));
			}
		}
	};

	private static final int TIMED_CHANGES = 200;

	private static final List<Integer> OPERATORS = List.of(1, 4, 16);

	private static final int CHANGES_PER_ROW = 400;

	private static final List<Integer> LOG_ENTRIES = List.of(100, 4096, 20_000, 100_000);

	private static final int RECOVERY_RUNS = 3;

	/**
	 * Measures.
	 * @param folder where data and logs go
	 * @param output where the figures go
	 * @throws IOException if a folder cannot be created
	 */
	abstract void run(Path folder, PrintStream output) throws IOException;

	private static String range(List<Recovery> runs, ToLongFunction<Recovery> value) {
		return "%d to %d".formatted(runs.stream().mapToLong(value).min().orElseThrow(),
				runs.stream().mapToLong(value).max().orElseThrow());
	}

}
