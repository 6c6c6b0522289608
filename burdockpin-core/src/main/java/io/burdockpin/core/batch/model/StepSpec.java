package io.burdockpin.core.batch.model;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.util.Checks;

/**
 * One step of a job: tasks of the same shape.
 *
 * @param taskCount how many tasks
 * @param resources what each task asks for
 * @param estimatedMillis the caller's estimate of the duration of a task; often far off
 * @param after numbers of the earlier steps that have to be done first
 * @param checkpointing whether tasks save their progress
 * @param gang whether the tasks work only together
 * @param sameRack whether a gang is slower on more than one rack
 * @param requiredLabel label that a runner must have
 * @param dataRack rack on which the tasks are faster
 * @param maximumPerRunner how many tasks of one occurrence may run on one runner
 * @param duplicatesAllowed whether copies of a task may run in parallel
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image what the tasks run; tasks of one image behave alike
 * @param targetMillis bound of the tail latency that a serving task has to keep
 * @param fills whether the tasks use only what other tasks leave of the processor
 * @param maximumAway how many tasks of a long-running step may be stopped at a time
 */
public record StepSpec(int taskCount, Resources resources, int estimatedMillis, List<Integer> after,
		boolean checkpointing, boolean gang, boolean sameRack, Optional<String> requiredLabel,
		Optional<String> dataRack, OptionalInt maximumPerRunner, boolean duplicatesAllowed, boolean longRunning,
		Optional<String> image, OptionalInt targetMillis, boolean fills, int maximumAway) {

	/** Bounds the memory that one job takes. */
	private static final int MAXIMUM_TASKS = 10_000;

	public StepSpec {
		Checks.range("taskCount", taskCount, 1, MAXIMUM_TASKS);
		Checks.range("estimatedMillis", estimatedMillis, 0, Integer.MAX_VALUE);
		after = List.copyOf(after);
		if (after.stream().anyMatch((number) -> number < 0)) {
			throw new InvalidValueException("a step cannot come after a step with a negative number");
		}
	}

	/**
	 * Returns what a task takes of the capacity of its runner.
	 * @return the resources; without processor for tasks that fill
	 */
	public Resources reserved() {
		return this.fills ? new Resources(0, this.resources.memoryMebibytes(), this.resources.accelerators())
				: this.resources;
	}

}
