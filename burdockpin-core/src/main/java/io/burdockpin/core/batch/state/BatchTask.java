package io.burdockpin.core.batch.state;

import java.util.Optional;

/** One task of an occurrence. Mutable; belongs to the state machine. */
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
	 * Tells whether the task has to be started.
	 * @return whether it is neither done nor assigned
	 */
	public boolean isWaiting() {
		return !this.done && this.run.isEmpty();
	}

	/**
	 * Tells whether the task is done.
	 * @return whether it never has to run again
	 */
	public boolean isDone() {
		return this.done;
	}

	/**
	 * Returns the number of its newest run.
	 * @return the number, 0 before the first
	 */
	public int lastRun() {
		return this.lastRun;
	}

	/**
	 * Returns how many of its runs have failed.
	 * @return the number of failed runs
	 */
	public int failures() {
		return this.failures;
	}

	/**
	 * Returns the newest saved progress.
	 * @return the checkpoint, empty if there is none
	 */
	public String checkpoint() {
		return this.checkpoint;
	}

	/**
	 * Returns the run that may be under way.
	 * @return the run
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
