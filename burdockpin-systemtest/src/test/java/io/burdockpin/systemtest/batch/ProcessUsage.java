package io.burdockpin.systemtest.batch;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The largest memory and number of descriptors of a process. Used by one thread. */
final class ProcessUsage {

	private static final long PERIOD_MILLIS = 20;

	private final Path process;

	private long sampledNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(PERIOD_MILLIS);

	private long maximumMemoryKilobytes;

	private long maximumDescriptors;

	ProcessUsage(long pid) {
		this.process = Path.of("/proc", Long.toString(pid));
	}

	/** Reads the memory and the descriptors, unless this was done a moment ago. */
	void sample() {
		if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.sampledNanos) < PERIOD_MILLIS) {
			return;
		}
		this.sampledNanos = System.nanoTime();
		try (Stream<Path> descriptors = Files.list(this.process.resolve("fd"));
				Stream<String> status = Files.lines(this.process.resolve("status"))) {
			this.maximumDescriptors = Math.max(this.maximumDescriptors, descriptors.count());
			// The kernel's own high-water mark of the resident memory
			this.maximumMemoryKilobytes = status.filter((line) -> line.startsWith("VmHWM:"))
				.map((line) -> Long.parseLong(line.replaceAll("\\D", "")))
				.reduce(this.maximumMemoryKilobytes, Math::max);
		}
		catch (IOException ex) {
			// The process has ended, which the test checks by itself.
			this.maximumDescriptors = Math.max(this.maximumDescriptors, 0);
		}
	}

	long maximumMemoryKilobytes() {
		return this.maximumMemoryKilobytes;
	}

	long maximumDescriptors() {
		return this.maximumDescriptors;
	}

	@Override
	public String toString() {
		return "at most %d KiB resident and %d descriptors".formatted(this.maximumMemoryKilobytes,
				this.maximumDescriptors);
	}

}
