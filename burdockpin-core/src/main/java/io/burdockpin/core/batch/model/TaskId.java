package io.burdockpin.core.batch.model;

/**
 * Names one task of a job.
 *
 * @param job the identifier that the caller chose for the job
 * @param occurrence number of the occurrence, from 0; 0 for a job that runs once
 * @param step number of the step, from 0
 * @param index number of the task in its step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {

	@Override
	public String toString() {
		return this.job + "." + this.occurrence + "." + this.step + "." + this.index;
	}

}
