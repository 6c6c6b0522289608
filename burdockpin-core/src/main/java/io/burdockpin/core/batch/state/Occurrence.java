package io.burdockpin.core.batch.state;

import java.util.Collections;
import java.util.List;

import io.burdockpin.core.batch.model.JobSpec;

/** One execution of all steps of a job. Mutable; owned by the {@link BatchState}. */
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
	 * Returns the number of the occurrence.
	 * @return the number, from 0
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the steps.
	 * @return an unmodifiable view, indexed by step number
	 */
	public List<StepTasks> steps() {
		return Collections.unmodifiableList(this.steps);
	}

	/**
	 * Tells whether all steps that a step depends on are done.
	 * @param step the number of the step
	 * @return whether the tasks of the step may be started
	 */
	public boolean isReady(int step) {
		return this.steps.get(step).spec().after().stream().allMatch((earlier) -> this.steps.get(earlier).isDone());
	}

	/**
	 * Tells whether all steps are done.
	 * @return whether no task is left to run
	 */
	public boolean isDone() {
		return this.steps.stream().allMatch(StepTasks::isDone);
	}

}
