package io.burdockpin.benchmark.change;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.timeline.model.EventFileReader;
import io.burdockpin.timeline.model.EventRecord;
import org.HdrHistogram.Histogram;

/**
 * Changes by operators that each wait for the reply before they send the next one. Used
 * by one thread.
 */
final class ChangeRun {

	private static final int LONGEST_RUN_SECONDS = 60;

	private static final Pattern SENT = Pattern.compile("bytes_(sent|received):(\\d+)");

	private final RealFleet fleet;

	private final AtomicInteger lastChange = new AtomicInteger();

	ChangeRun(RealFleet fleet) {
		this.fleet = fleet;
	}

	/**
	 * Makes changes one after the other and compares when the first member applied them
	 * with when the last entry host did. All processes share one clock.
	 * @param changes how many
	 * @return the times in milliseconds
	 */
	Histogram inForceMillis(int changes) {
		run(1, changes);
		Map<Long, Long> accepted = firstApplied();
		long newest = accepted.keySet().stream().max(Long::compare).orElseThrow();
		this.fleet.awaitInForce(newest);
		List<TreeMap<Long, Long>> entries = this.fleet.entryEvents().stream().map(ChangeRun::applied).toList();
		Histogram histogram = new Histogram(3);
		accepted.forEach((index, acceptedMillis) -> {
			long lastMillis = entries.stream()
				.mapToLong((entry) -> Optional.ofNullable(entry.ceilingEntry(index)).orElseThrow().getValue())
				.max()
				.orElseThrow();
			histogram.recordValue(lastMillis - acceptedMillis);
		});
		return histogram;
	}

	/**
	 * Measures changes of several operators.
	 * @param operators how many operators
	 * @param changes how many changes together
	 * @return one line of a table
	 */
	String row(int operators, int changes) {
		long idleBytes = idleBytesPerSecond();
		long diskBefore = diskBytes();
		long sentBefore = sentBytes();
		long startNanos = System.nanoTime();
		int done = run(operators, changes);
		double seconds = (System.nanoTime() - startNanos) / 1e9;
		double network = sentBytes() - sentBefore - idleBytes * seconds;
		double disk = diskBytes() - diskBefore;
		return "| %d | %d | %.0f | %.0f | %.0f | %d |".formatted(operators, done, done / seconds,
				disk / done / RealFleet.MEMBERS, network / done, idleBytes);
	}

	// helpers

	private int run(int operators, int changes) {
		ExecutorService threads = Executors.newFixedThreadPool(operators);
		AtomicInteger left = new AtomicInteger(changes);
		AtomicInteger done = new AtomicInteger();
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_RUN_SECONDS);
		try {
			CompletableFuture
				.allOf(IntStream.range(0, operators).mapToObj((operator) -> CompletableFuture.runAsync(() -> {
					while (left.getAndDecrement() > 0 && System.nanoTime() < endNanos) {
						String name = "q-" + this.lastChange.incrementAndGet();
						this.fleet.change(name, operator,
								new ConfigurationCommand.CreateQueue(new QueueName(name), true));
						done.incrementAndGet();
					}
				}, threads)).toArray(CompletableFuture[]::new))
				.join();
		}
		finally {
			threads.shutdown();
		}
		return done.get();
	}

	// The leader is the first member to apply a change.
	private Map<Long, Long> firstApplied() {
		Map<Long, Long> first = new TreeMap<>();
		IntStream.range(0, RealFleet.MEMBERS)
			.mapToObj((member) -> applied(this.fleet.memberData(member).resolve("events/events.jsonl")))
			.forEach((times) -> times.forEach((index, millis) -> first.merge(index, millis, Math::min)));
		return first;
	}

	private static TreeMap<Long, Long> applied(Path eventFile) {
		TreeMap<Long, Long> times = new TreeMap<>();
		List<EventRecord> events = new EventFileReader().read(List.of(eventFile)).events();
		events.stream()
			.filter((event) -> event.is(EventKind.CONFIGURATION_APPLIED))
			.forEach((event) -> event.number(EventField.INDEX)
				.filter((index) -> index > 0)
				.ifPresent((index) -> times.putIfAbsent(index, event.wallMillis())));
		return times;
	}

	private long diskBytes() {
		long bytes = 0;
		for (int member = 0; member < RealFleet.MEMBERS; member++) {
			try (Stream<Path> files = Files.list(this.fleet.memberData(member))) {
				bytes += files.filter((file) -> file.getFileName().toString().startsWith("log-"))
					.mapToLong((file) -> file.toFile().length())
					.sum();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
		return bytes;
	}

	private long idleBytesPerSecond() {
		int seconds = 5;
		long before = sentBytes();
		CompletableFuture.runAsync(() -> {
		}, CompletableFuture.delayedExecutor(seconds, TimeUnit.SECONDS)).join();
		return (sentBytes() - before) / seconds;
	}

	// Bytes in both directions of all TCP connections to the fleet, those of operators
	// included. Only the accepting end has an address of the fleet.
	private long sentBytes() {
		List<String> command = new ArrayList<>(List.of("ss", "-tinHO", "src", this.fleet.network() + "0/24"));
		try {
			Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
			String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			return SENT.matcher(text).results().map(MatchResult::group).mapToLong(ChangeRun::number).sum();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static long number(String field) {
		return Long.parseLong(field.substring(field.indexOf(':') + 1));
	}

}
