package io.burdockpin.core.batch.state;

import java.util.Optional;

/** A task of an occurrence. Mutable; owned by the {@link BatchState}. */
public final class BatchTask {

	private boolean done;

	private int lastRun;

	private int failures;

	private String checkpoint = "";

	private Optional<Run> run = Optional.empty();

	BatchTask() {
	}

	BatchTask(boolean done, int lastRun, int failures, String checkpoint) {
		this.done = done;
		this.lastRun = lastRun;
		this.failures = failures;
		this.checkpoint = checkpoint;
	}

	/**
	 * Tells whether the task waits to be started.
	 * @return whether it is neither done nor assigned to a runner
	 */
	public boolean isWaiting() {
		return !this.done && this.run.isEmpty();
	}

	/**
	 * Tells whether the task is as it was created.
	 * @return whether it waits and has never had a run or a checkpoint
	 */
	boolean isUnchanged() {
		return isWaiting() && this.lastRun == 0 && this.failures == 0 && this.checkpoint.isEmpty();
	}

	/**
	 * Tells whether the task is done.
	 * @return whether it does not have to run again
	 */
	public boolean isDone() {
		return this.done;
	}

	/**
	 * Returns the number of the latest run.
	 * @return 0 if the task has not run yet
	 */
	public int lastRun() {
		return this.lastRun;
	}

	/**
	 * Returns the number of failed runs.
	 * @return the number of ends that counted as attempts
	 */
	public int failures() {
		return this.failures;
	}

	/**
	 * Returns the latest checkpoint.
	 * @return empty if there is none
	 */
	public String checkpoint() {
		return this.checkpoint;
	}

	/**
	 * Returns the run that may be in progress.
	 * @return empty if the task is not assigned to a runner
	 */
	public Optional<Run> run() {
		return this.run;
	}

	void assign(Run assigned) {
		this.run = Optional.of(assigned);
		this.lastRun = assigned.number();
	}

	void endRun() {
		this.run = Optional.empty();
	}

	void complete() {
		this.done = true;
	}

	void fail() {
		this.failures++;
	}

	void saveCheckpoint(String newCheckpoint) {
		if (!newCheckpoint.isEmpty()) {
			this.checkpoint = newCheckpoint;
		}
	}

}
