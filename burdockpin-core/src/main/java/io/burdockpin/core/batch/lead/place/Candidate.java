package io.burdockpin.core.batch.lead.place;

import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.model.Resources;

/**
 * Runner that can be assigned tasks in a placement round, with its remaining capacity.
 * Not thread-safe; owned by the round.
 */
public final class Candidate {

	private final RunnerRecord runner;

	private final RunnerReliability reliability;

	private Resources free;

	private Resources longRunning;

	/**
	 * Creates a candidate with the capacity that its runs leave free.
	 * @param runner runner that accepts new tasks
	 * @param reserved resources reserved by its runs
	 * @param longRunning the share of them that long-running tasks reserve
	 * @param reliability reliability of the runner
	 */
	public Candidate(RunnerRecord runner, Resources reserved, Resources longRunning, RunnerReliability reliability) {
		this.runner = runner;
		this.free = runner.capacity().minus(reserved);
		this.longRunning = longRunning;
		this.reliability = reliability;
	}

	/**
	 * Returns the runner.
	 * @return the runner as registered
	 */
	public RunnerRecord runner() {
		return this.runner;
	}

	/**
	 * Returns the reliability of the runner.
	 * @return reliability according to its recent runs
	 */
	public RunnerReliability reliability() {
		return this.reliability;
	}

	/**
	 * Checks whether the runner has free capacity for a task and the label that it
	 * requires.
	 * @param step step of the task
	 * @return {@code true} if the task fits now
	 */
	public boolean fits(StepSpec step) {
		return hasCapacityFor(step) && hasLabelOf(step);
	}

	/**
	 * Checks whether the runner has free capacity for a task.
	 * @param step step of the task
	 * @return {@code true} also if the runner does not have the label that it requires
	 */
	public boolean hasCapacityFor(StepSpec step) {
		return step.reserved().fitsIn(this.free);
	}

	/**
	 * Checks whether the runner has the label that a step requires.
	 * @param step step of a task
	 * @return {@code true} also if the step requires none
	 */
	public boolean hasLabelOf(StepSpec step) {
		return step.requiredLabel().filter((label) -> !this.runner.labels().contains(label)).isEmpty();
	}

	/**
	 * Checks whether the runner is near the data of a step.
	 * @param step step of a task
	 * @return {@code true} also if the step has no data rack
	 */
	public boolean isLocalTo(StepSpec step) {
		return step.dataRack().isEmpty() || step.dataRack().equals(this.runner.rack());
	}

	/**
	 * Returns the free capacity.
	 * @return capacity that neither runs nor the assignments of the round reserve
	 */
	public Resources free() {
		return this.free;
	}

	/**
	 * Returns the free processor capacity.
	 * @return free capacity in thousandths of a core
	 */
	public int freeMillicores() {
		return this.free.cpuMillicores();
	}

	/**
	 * Returns the capacity that long-running tasks reserve.
	 * @return sum over the long-running tasks of the runner
	 */
	public Resources longRunning() {
		return this.longRunning;
	}

	/**
	 * Reserves the capacity of a task.
	 * @param step step of the task
	 */
	public void reserve(StepSpec step) {
		this.free = this.free.minus(step.reserved());
		if (step.longRunning()) {
			this.longRunning = this.longRunning.plus(step.reserved());
		}
	}

	/**
	 * Releases the capacity of a task that was reserved in this round.
	 * @param step step of the task
	 */
	public void release(StepSpec step) {
		this.free = this.free.plus(step.reserved());
		if (step.longRunning()) {
			this.longRunning = this.longRunning.minus(step.reserved());
		}
	}

}
