package io.burdockpin.benchmark.change;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * What the threads of one name have used, as the kernel counts it. Immutable.
 *
 * @param processorNanos processor time
 * @param wakeUps how often a processor was given to a thread
 */
record ThreadUse(long processorNanos, long wakeUps) {

	static final ThreadUse NONE = new ThreadUse(0, 0);

	/**
	 * Reads the threads of a process.
	 * @param processId the process
	 * @return the use since the start of the threads that live, by name without numbers
	 */
	static Map<String, ThreadUse> of(long processId) {
		Map<String, ThreadUse> result = new TreeMap<>();
		try (Stream<Path> tasks = Files.list(Path.of("/proc", Long.toString(processId), "task"))) {
			tasks.forEach((task) -> read(task, "comm").ifPresent((name) -> read(task, "schedstat")
				.ifPresent((counts) -> result.merge(name.replaceAll("[0-9]+$", "N"), parse(counts), ThreadUse::plus))));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return result;
	}

	/**
	 * Returns what was used between two readings.
	 * @param before the earlier reading
	 * @param after the later reading
	 * @return the differences by name
	 */
	static Map<String, ThreadUse> since(Map<String, ThreadUse> before, Map<String, ThreadUse> after) {
		Map<String, ThreadUse> result = new TreeMap<>();
		after.forEach((name, use) -> result.put(name, use.minus(before.getOrDefault(name, NONE))));
		return result;
	}

	ThreadUse plus(ThreadUse other) {
		return new ThreadUse(this.processorNanos + other.processorNanos, this.wakeUps + other.wakeUps);
	}

	private ThreadUse minus(ThreadUse other) {
		// The use of a thread that has ended is lost.
		return new ThreadUse(Math.max(0, this.processorNanos - other.processorNanos),
				Math.max(0, this.wakeUps - other.wakeUps));
	}

	private static ThreadUse parse(String schedstat) {
		String[] fields = schedstat.split(" ");
		return new ThreadUse(Long.parseLong(fields[0]), Long.parseLong(fields[2]));
	}

	// A thread may end between the listing and the reading.
	private static Optional<String> read(Path task, String file) {
		try {
			return Optional.of(Files.readString(task.resolve(file)).strip());
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
