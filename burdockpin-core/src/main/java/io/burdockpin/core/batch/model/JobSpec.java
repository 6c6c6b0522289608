package io.burdockpin.core.batch.model;

import java.util.List;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.util.Checks;

/**
 * Specification of a job as submitted by a caller.
 *
 * @param specification opaque text that is passed to the runner with each task
 * @param steps the steps in topological order: each follows those it depends on
 * @param occurrenceCount number of scheduled occurrences; 0 if the steps run once,
 * immediately
 * @param firstRunMillis due time of the first occurrence, in milliseconds since 1970
 * @param intervalMillis time between the due times of two occurrences
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
				throw new InvalidValueException("step %d depends on a step that does not precede it".formatted(number));
			}
		}
	}

	/**
	 * Tells whether the job runs on a schedule.
	 * @return {@code false} if it runs once, immediately
	 */
	public boolean hasSchedule() {
		return this.occurrenceCount > 0;
	}

	/**
	 * Tells whether the job runs until it is cancelled.
	 * @return whether any step is long-running
	 */
	public boolean isLongRunning() {
		return this.steps.stream().anyMatch(StepSpec::longRunning);
	}

	/**
	 * Calculates what the job takes of a control member.
	 * @return the size of the job
	 */
	public JobSize size() {
		return JobSize.of(this);
	}

	/**
	 * Returns how often the steps run in total.
	 * @return at least 1
	 */
	public int totalOccurrences() {
		return Math.max(1, this.occurrenceCount);
	}

	/**
	 * Returns the due time of an occurrence.
	 * @param occurrence the number of the occurrence, from 0
	 * @param acceptedMillis when the job was accepted, in milliseconds since 1970
	 * @return the due time in milliseconds since 1970
	 */
	public long dueMillis(int occurrence, long acceptedMillis) {
		return hasSchedule() ? this.firstRunMillis + occurrence * this.intervalMillis : acceptedMillis;
	}

}
