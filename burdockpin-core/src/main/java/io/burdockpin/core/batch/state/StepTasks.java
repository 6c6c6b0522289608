package io.burdockpin.core.batch.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.burdockpin.core.batch.model.StepSpec;

/** The tasks of one step of an occurrence. Mutable; belongs to the state machine. */
public final class StepTasks {

	private final StepSpec spec;

	private final List<BatchTask> tasks;

	private int doneCount;

	private int gangFailures;

	private int lastFailedGangRun;

	StepTasks(StepSpec spec) {
		this.spec = spec;
		this.tasks = new ArrayList<>(spec.taskCount());
		for (int index = 0; index < spec.taskCount(); index++) {
			this.tasks.add(new BatchTask());
		}
	}

	StepTasks(StepSpec spec, List<BatchTask> tasks, int gangFailures, int lastFailedGangRun) {
		this.spec = spec;
		this.tasks = tasks;
		this.doneCount = (int) tasks.stream().filter(BatchTask::isDone).count();
		this.gangFailures = gangFailures;
		this.lastFailedGangRun = lastFailedGangRun;
	}

	/**
	 * Returns the specification of the step.
	 * @return the specification
	 */
	public StepSpec spec() {
		return this.spec;
	}

	/**
	 * Returns the tasks by their index.
	 * @return the tasks
	 */
	public List<BatchTask> tasks() {
		return Collections.unmodifiableList(this.tasks);
	}

	/**
	 * Tells whether all tasks are done.
	 * @return whether later steps need not wait for this one
	 */
	public boolean isDone() {
		return this.doneCount == this.tasks.size();
	}

	/**
	 * Returns the highest run number of its tasks; the members of a gang share the next.
	 * @return the number
	 */
	public int highestRun() {
		return this.tasks.stream().mapToInt(BatchTask::lastRun).max().orElse(0);
	}

	int gangFailures() {
		return this.gangFailures;
	}

	int lastFailedGangRun() {
		return this.lastFailedGangRun;
	}

	void complete(BatchTask task) {
		if (!task.isDone()) {
			task.complete();
			this.doneCount++;
		}
	}

	void completeAll() {
		this.tasks.forEach(this::complete);
	}

	/**
	 * Counts a failed run.
	 * @param task the task
	 * @param run the number of the run
	 * @return how often the task, or its gang, has failed now
	 */
	int fail(BatchTask task, int run) {
		task.fail();
		if (!this.spec.gang()) {
			return task.failures();
		}
		if (run > this.lastFailedGangRun) {
			this.lastFailedGangRun = run;
			this.gangFailures++;
		}
		return this.gangFailures;
	}

}
