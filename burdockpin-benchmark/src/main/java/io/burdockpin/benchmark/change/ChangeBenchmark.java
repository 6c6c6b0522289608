package io.burdockpin.benchmark.change;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Measures with real processes on loopback addresses: how long accepted changes take to
 * be in force on seven entry hosts, how many changes a second are accepted and what they
 * cost, and how long a member takes to start on its log. All runs are bounded in count
 * and time. Used by the main thread.
 */
public final class ChangeBenchmark {

	private ChangeBenchmark() {
	}

	/**
	 * Runs the measurements and prints tables.
	 * @param args a folder for data and logs, then the parts; all without any
	 * @throws IOException if the folder cannot be created
	 */
	public static void main(String[] args) throws IOException {
		if (args.length == 0) {
			System.err.println("usage: ChangeBenchmark FOLDER [changes] [recovery]");
			System.exit(2);
		}
		Path folder = Files.createDirectories(Path.of(args[0]).toAbsolutePath());
		List<ChangePart> parts = Arrays.stream(args)
			.skip(1)
			.map((name) -> ChangePart.valueOf(name.toUpperCase(Locale.ROOT)))
			.toList();
		for (ChangePart part : parts.isEmpty() ? List.of(ChangePart.values()) : parts) {
			part.run(folder, System.out);
		}
		System.exit(0);
	}

}
