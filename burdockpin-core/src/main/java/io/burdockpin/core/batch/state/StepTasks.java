package io.burdockpin.core.batch.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.burdockpin.core.batch.model.StepSpec;

/** The tasks of one step of an occurrence. Mutable; owned by the {@link BatchState}. */
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
	 * @return the specification as submitted by the caller
	 */
	public StepSpec spec() {
		return this.spec;
	}

	/**
	 * Returns the tasks.
	 * @return an unmodifiable view, indexed by the index of the task
	 */
	public List<BatchTask> tasks() {
		return Collections.unmodifiableList(this.tasks);
	}

	/**
	 * Tells whether all tasks are done.
	 * @return whether steps that depend on this one may start
	 */
	public boolean isDone() {
		return this.doneCount == this.tasks.size();
	}

	/**
	 * Returns the highest run number of all tasks. The tasks of a gang share the next
	 * number.
	 * @return 0 if no task has run yet
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

	/**
	 * Ends the run of a task and saves its checkpoint. The members of a gang that wait
	 * share the checkpoint that was reported last, because a gang must resume from a
	 * single one; a member with a run keeps the one that its run began with.
	 * @param task the task whose run has ended
	 * @param checkpoint the last checkpoint of the run; empty if there is none
	 */
	void endRun(BatchTask task, String checkpoint) {
		if (!this.spec.gang()) {
			task.endRun();
			task.saveCheckpoint(checkpoint);
			return;
		}
		String shared = checkpoint.isEmpty() ? waitingCheckpoint() : checkpoint;
		task.endRun();
		saveForWaiting(shared);
	}

	/**
	 * Lets the waiting members of a gang share a checkpoint. Snapshots of earlier
	 * versions have one for each member.
	 */
	void shareCheckpoint() {
		if (this.spec.gang()) {
			saveForWaiting(waitingCheckpoint());
		}
	}

	private String waitingCheckpoint() {
		return this.tasks.stream()
			.filter(BatchTask::isWaiting)
			.map(BatchTask::checkpoint)
			.filter((checkpoint) -> !checkpoint.isEmpty())
			.findFirst()
			.orElse("");
	}

	private void saveForWaiting(String checkpoint) {
		this.tasks.stream().filter(BatchTask::isWaiting).forEach((task) -> task.saveCheckpoint(checkpoint));
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
	 * Counts a failed run. Failures of several tasks in the same run of a gang count
	 * once.
	 * @param task the task whose run failed
	 * @param run the number of the run
	 * @return the number of failed runs of the task, or of its gang
	 */
	int fail(BatchTask task, int run) {
		task.fail();
		if (this.spec.gang() && run > this.lastFailedGangRun) {
			this.lastFailedGangRun = run;
			this.gangFailures++;
		}
		return failures(task);
	}

	int failures(BatchTask task) {
		return this.spec.gang() ? this.gangFailures : task.failures();
	}

}
