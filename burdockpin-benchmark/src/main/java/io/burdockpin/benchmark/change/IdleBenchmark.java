package io.burdockpin.benchmark.change;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Measures what the processes of a fleet without load cost: three control members and
 * seven entry hosts, no runners, no workers, no jobs. Prints the processor time and the
 * wake-ups of each process and of its threads. Linux only. Used by the main thread.
 */
public final class IdleBenchmark {

	private static final int SETTLE_SECONDS = 20;

	private static final int LONGEST_SECONDS = 600;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final double PERCENT = 100.0;

	/** Threads below a ten thousandth of a core are not printed. */
	private static final double SMALLEST_PERCENT = 0.01;

	private IdleBenchmark() {
	}

	/**
	 * Runs the measurement and prints a table.
	 * @param args a folder for data and logs, and the time to measure in seconds
	 * @throws IOException if the folder cannot be created
	 */
	public static void main(String[] args) throws IOException {
		if (args.length != 2) {
			System.err.println("usage: IdleBenchmark FOLDER SECONDS");
			System.exit(2);
		}
		Path folder = Files.createDirectories(Path.of(args[0]).toAbsolutePath());
		int seconds = Math.min(Integer.parseInt(args[1]), LONGEST_SECONDS);
		try (RealFleet fleet = new RealFleet(folder)) {
			fleet.start();
			pause(SETTLE_SECONDS);
			Map<String, Map<String, ThreadUse>> before = use(fleet);
			long startNanos = System.nanoTime();
			pause(seconds);
			Map<String, Map<String, ThreadUse>> after = use(fleet);
			double elapsedSeconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
			before.forEach((name, threads) -> print(System.out, name, ThreadUse.since(threads, after.get(name)),
					elapsedSeconds));
		}
		System.exit(0);
	}

	// helpers

	private static Map<String, Map<String, ThreadUse>> use(RealFleet fleet) {
		Map<String, Map<String, ThreadUse>> result = new LinkedHashMap<>();
		fleet.processIds().forEach((name, processId) -> result.put(name, ThreadUse.of(processId)));
		return result;
	}

	private static void print(PrintStream out, String name, Map<String, ThreadUse> threads, double seconds) {
		ThreadUse total = threads.values().stream().reduce(ThreadUse.NONE, ThreadUse::plus);
		printLine(out, name, "total", total, seconds);
		threads.forEach((thread, use) -> {
			if (percent(use, seconds) >= SMALLEST_PERCENT) {
				printLine(out, name, thread, use, seconds);
			}
		});
	}

	private static void printLine(PrintStream out, String name, String thread, ThreadUse use, double seconds) {
		out.printf("%-4s %-16s %6.2f %% of a core %8.1f wake-ups/s%n", name, thread, percent(use, seconds),
				use.wakeUps() / seconds);
	}

	private static double percent(ThreadUse use, double seconds) {
		return PERCENT * use.processorNanos() / NANOS_PER_SECOND / seconds;
	}

	private static void pause(int seconds) {
		CompletableFuture.runAsync(() -> {
		}, CompletableFuture.delayedExecutor(seconds, TimeUnit.SECONDS)).join();
	}

}
