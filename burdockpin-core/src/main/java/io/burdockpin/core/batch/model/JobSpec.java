package io.burdockpin.core.batch.model;

import java.util.List;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.util.Checks;

/**
 * What a caller asks for with a job.
 *
 * @param specification text that is handed to the runner with each task
 * @param steps the steps, in an order in which each comes after those it depends on
 * @param occurrenceCount how many times the steps run; 0 if they run once, at once
 * @param firstRunMillis when the first occurrence is due, in milliseconds since 1970
 * @param intervalMillis time between two occurrences
 */
public record JobSpec(String specification, List<StepSpec> steps, int occurrenceCount, long firstRunMillis,
		long intervalMillis) {

	private static final int MAXIMUM_STEPS = 1_000;

	private static final int MAXIMUM_OCCURRENCES = 1_000_000;

	public JobSpec {
		steps = List.copyOf(steps);
		Checks.range("number of steps", steps.size(), 1, MAXIMUM_STEPS);
		Checks.range("occurrenceCount", occurrenceCount, 0, MAXIMUM_OCCURRENCES);
		for (int number = 0; number < steps.size(); number++) {
			int step = number;
			if (steps.get(number).after().stream().anyMatch((earlier) -> earlier >= step)) {
				throw new InvalidValueException("step %d comes after a step that is not earlier".formatted(number));
			}
		}
	}

	/**
	 * Tells whether the job runs at set times.
	 * @return whether it has occurrences
	 */
	public boolean hasSchedule() {
		return this.occurrenceCount > 0;
	}

	/**
	 * Tells whether the tasks run until the job is cancelled.
	 * @return whether any step is long-running
	 */
	public boolean isLongRunning() {
		return this.steps.stream().anyMatch(StepSpec::longRunning);
	}

	/**
	 * Returns the number of occurrences.
	 * @return at least 1
	 */
	public int totalOccurrences() {
		return Math.max(1, this.occurrenceCount);
	}

	/**
	 * Returns when an occurrence is due.
	 * @param occurrence its number, from 0
	 * @param acceptedMillis when the job was accepted
	 * @return milliseconds since 1970
	 */
	public long dueMillis(int occurrence, long acceptedMillis) {
		return hasSchedule() ? this.firstRunMillis + occurrence * this.intervalMillis : acceptedMillis;
	}

}
