package io.burdockpin.core.batch.state;

import java.util.Collections;
import java.util.List;

import io.burdockpin.core.batch.model.JobSpec;

/** One run through the steps of a job. Mutable; belongs to the state machine. */
public final class Occurrence {

	private final int number;

	private final List<StepTasks> steps;

	Occurrence(int number, JobSpec spec) {
		this(number, spec.steps().stream().map(StepTasks::new).toList());
	}

	Occurrence(int number, List<StepTasks> steps) {
		this.number = number;
		this.steps = steps;
	}

	/**
	 * Returns its number.
	 * @return the number, from 0
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the steps by their number.
	 * @return the steps
	 */
	public List<StepTasks> steps() {
		return Collections.unmodifiableList(this.steps);
	}

	/**
	 * Tells whether the steps that a step waits for are done.
	 * @param step the number of the step
	 * @return whether its tasks may be started
	 */
	public boolean isReady(int step) {
		return this.steps.get(step).spec().after().stream().allMatch((earlier) -> this.steps.get(earlier).isDone());
	}

	/**
	 * Tells whether all steps are done.
	 * @return whether nothing is left to run
	 */
	public boolean isDone() {
		return this.steps.stream().allMatch(StepTasks::isDone);
	}

}
