package io.burdockpin.core.batch.model;

/**
 * Identifies a task of a job.
 *
 * @param job the identifier of the job, chosen by the caller
 * @param occurrence number of the occurrence, from 0; 0 for a job that runs once
 * @param step number of the step, from 0
 * @param index index of the task within its step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {

	/**
	 * Returns the first task of the same step, which identifies the step.
	 * @return identifier with index 0
	 */
	public TaskId firstOfStep() {
		return new TaskId(this.job, this.occurrence, this.step, 0);
	}

	@Override
	public String toString() {
		return this.job + "." + this.occurrence + "." + this.step + "." + this.index;
	}

}
