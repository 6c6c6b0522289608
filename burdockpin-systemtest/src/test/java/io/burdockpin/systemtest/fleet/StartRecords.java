package io.burdockpin.systemtest.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The starts that all runners have recorded. Immutable. */
public final class StartRecords {

	private final List<StartRecord> records;

	/**
	 * Creates the records of some runners.
	 * @param records the starts
	 */
	public StartRecords(List<StartRecord> records) {
		this.records = List.copyOf(records);
	}

	// life cycle

	/**
	 * Reads the records of runners.
	 * @param runners the runners
	 * @return their starts
	 */
	public static StartRecords of(List<StandInRunner> runners) {
		return new StartRecords(runners.stream().flatMap((runner) -> runner.starts().stream()).toList());
	}

	// access

	/**
	 * Returns the identifiers that were started.
	 * @return the identifiers
	 */
	public Set<String> startedIds() {
		return this.records.stream().map(StartRecord::requestId).collect(Collectors.toSet());
	}

	/**
	 * Returns the identifiers that were started more than once.
	 * @return the identifiers
	 */
	public Set<String> idsStartedTwice() {
		return this.records.stream()
			.collect(Collectors.groupingBy(StartRecord::requestId, Collectors.counting()))
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 1)
			.map((entry) -> entry.getKey())
			.collect(Collectors.toSet());
	}

	/**
	 * Returns the largest number of requests that ran at one moment. Each counts for the
	 * time that its runner gave it, which ends at its deadline, so that this never counts
	 * too many.
	 * @return the largest overlap
	 */
	public int largestOverlap() {
		List<Step> steps = new ArrayList<>();
		this.records.forEach((record) -> {
			steps.add(new Step(record.startMillis(), 1));
			steps.add(new Step(record.startMillis() + record.runMillis(), -1));
		});
		steps.sort(Comparator.comparingLong(Step::atMillis).thenComparing(Step::change));
		int running = 0;
		int largest = 0;
		for (Step step : steps) {
			running += step.change();
			largest = Math.max(largest, running);
		}
		return largest;
	}

	/**
	 * Returns the starts in order of their time.
	 * @param property what is wanted of each start
	 * @param <T> type of the property
	 * @return the properties
	 */
	public <T> List<T> inOrder(Function<StartRecord, T> property) {
		return this.records.stream().sorted(Comparator.comparingLong(StartRecord::startMillis)).map(property).toList();
	}

	private record Step(long atMillis, int change) {

	}

}
