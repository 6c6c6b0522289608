package io.burdockpin.core.batch.state;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.RandomAccess;
import java.util.function.Consumer;

import io.burdockpin.core.batch.model.StepSpec;

/**
 * The tasks of one step of an occurrence. Only tasks that have been assigned to a runner
 * take memory, and those before them, so that a step costs what has started and not what
 * its caller describes. Mutable; owned by the {@link BatchState}.
 */
public final class StepTasks {

	/** Stands for all tasks that were never changed; never changed itself. */
	private static final BatchTask UNCHANGED = new BatchTask();

	private final StepSpec spec;

	/** The tasks up to the last one that was changed. */
	private final List<BatchTask> changed;

	private final List<BatchTask> all = new AllTasks();

	private int doneCount;

	private int activeCount;

	private int waitingCount;

	/** No task before this index waits. */
	private int firstWaiting;

	private int gangFailures;

	private int lastFailedGangRun;

	StepTasks(StepSpec spec) {
		this(spec, new ArrayList<>(), 0, 0);
	}

	StepTasks(StepSpec spec, List<BatchTask> changed, int gangFailures, int lastFailedGangRun) {
		this.spec = spec;
		this.changed = changed;
		this.doneCount = (int) changed.stream().filter(BatchTask::isDone).count();
		this.waitingCount = spec.taskCount() - this.doneCount;
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
	 * Returns all tasks. A round of decisions visits {@link #changedTasks} instead, since
	 * there may be thousands that wait.
	 * @return an unmodifiable view, indexed by the index of the task
	 */
	public List<BatchTask> tasks() {
		return this.all;
	}

	/**
	 * Returns the tasks that may have been assigned. All others wait and never had a run.
	 * @return an unmodifiable view of the first tasks, indexed by the index of the task
	 */
	public List<BatchTask> changedTasks() {
		return Collections.unmodifiableList(this.changed);
	}

	/**
	 * Tells whether all tasks are done.
	 * @return whether steps that depend on this one may start
	 */
	public boolean isDone() {
		return this.doneCount == this.spec.taskCount();
	}

	/**
	 * Counts the tasks that wait to be started.
	 * @return number of tasks that are neither done nor assigned to a runner
	 */
	public int waitingCount() {
		return this.waitingCount;
	}

	/**
	 * Counts the tasks with a run that may be in progress.
	 * @return number of tasks that are assigned to a runner
	 */
	public int activeCount() {
		return this.activeCount;
	}

	/**
	 * Counts the tasks that are neither done nor waiting.
	 * @return number of tasks that are assigned to a runner and not done by another one
	 */
	public int runningCount() {
		return this.spec.taskCount() - this.doneCount - this.waitingCount;
	}

	/**
	 * Tells whether no task is done or assigned to a runner.
	 * @return whether all tasks can be started together
	 */
	public boolean areAllWaiting() {
		return this.waitingCount == this.spec.taskCount();
	}

	/**
	 * Returns where to begin to look for tasks that wait.
	 * @return an index before which no task waits
	 */
	public int firstWaitingIndex() {
		return this.firstWaiting;
	}

	/**
	 * Returns the highest run number of all tasks. The tasks of a gang share the next
	 * number.
	 * @return 0 if no task has run yet
	 */
	public int highestRun() {
		return this.changed.stream().mapToInt(BatchTask::lastRun).max().orElse(0);
	}

	int gangFailures() {
		return this.gangFailures;
	}

	int lastFailedGangRun() {
		return this.lastFailedGangRun;
	}

	void assign(int index, Run run) {
		change(index, (task) -> task.assign(run));
	}

	/**
	 * Ends the run of a task and saves its checkpoint. The members of a gang that wait
	 * share the checkpoint that was reported last, because a gang must resume from a
	 * single one; a member with a run keeps the one that its run began with.
	 * @param index the index of the task whose run has ended
	 * @param checkpoint the last checkpoint of the run; empty if there is none
	 */
	void endRun(int index, String checkpoint) {
		if (!this.spec.gang()) {
			change(index, (task) -> {
				task.endRun();
				task.saveCheckpoint(checkpoint);
			});
			return;
		}
		String shared = checkpoint.isEmpty() ? waitingCheckpoint() : checkpoint;
		change(index, BatchTask::endRun);
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
		return this.changed.stream()
			.filter(BatchTask::isWaiting)
			.map(BatchTask::checkpoint)
			.filter((checkpoint) -> !checkpoint.isEmpty())
			.findFirst()
			.orElse("");
	}

	private void saveForWaiting(String checkpoint) {
		for (int index = 0; !checkpoint.isEmpty() && index < this.spec.taskCount(); index++) {
			if (this.all.get(index).isWaiting()) {
				change(index, (task) -> task.saveCheckpoint(checkpoint));
			}
		}
	}

	void complete(int index) {
		change(index, BatchTask::complete);
	}

	void completeAll() {
		for (int index = 0; index < this.spec.taskCount(); index++) {
			complete(index);
		}
	}

	/**
	 * Counts a failed run. Failures of several tasks in the same run of a gang count
	 * once.
	 * @param index the index of the task whose run failed
	 * @param run the number of the run
	 * @return the number of failed runs of the task, or of its gang
	 */
	int fail(int index, int run) {
		change(index, BatchTask::fail);
		if (this.spec.gang() && run > this.lastFailedGangRun) {
			this.lastFailedGangRun = run;
			this.gangFailures++;
		}
		return failures(this.all.get(index));
	}

	int failures(BatchTask task) {
		return this.spec.gang() ? this.gangFailures : task.failures();
	}

	private void change(int index, Consumer<BatchTask> change) {
		while (this.changed.size() <= index) {
			this.changed.add(new BatchTask());
		}
		BatchTask task = this.changed.get(index);
		count(task, -1);
		change.accept(task);
		count(task, 1);
		if (task.isWaiting()) {
			this.firstWaiting = Math.min(this.firstWaiting, index);
		}
		while (this.firstWaiting < this.changed.size() && !this.changed.get(this.firstWaiting).isWaiting()) {
			this.firstWaiting++;
		}
	}

	private void count(BatchTask task, int difference) {
		this.doneCount += task.isDone() ? difference : 0;
		this.activeCount += task.run().isPresent() ? difference : 0;
		this.waitingCount += task.isWaiting() ? difference : 0;
	}

	/** View of all tasks, with one object for those that were never changed. */
	private final class AllTasks extends AbstractList<BatchTask> implements RandomAccess {

		@Override
		public BatchTask get(int index) {
			return (index < StepTasks.this.changed.size()) ? StepTasks.this.changed.get(index) : UNCHANGED;
		}

		@Override
		public int size() {
			return StepTasks.this.spec.taskCount();
		}

	}

}
