package io.burdockpin.core.batch.model;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.util.Checks;

/**
 * Specification of one step of a job: a number of tasks with the same requirements.
 *
 * @param taskCount number of tasks
 * @param resources resources requested by each task
 * @param estimatedMillis the caller's estimate of the duration of a task, which may be
 * far off
 * @param after numbers of the preceding steps that must complete first
 * @param checkpointing whether tasks save checkpoints from which they can resume
 * @param gang whether the tasks make progress only while all of them run
 * @param sameRack whether a gang runs slower when it is spread over several racks
 * @param requiredLabel label that a runner must have
 * @param dataRack rack on which the tasks run faster because their data is there
 * @param maximumPerRunner limit on the tasks of one occurrence on the same runner
 * @param duplicatesAllowed whether copies of a task may run in parallel
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image the program that the tasks run; tasks with the same image behave alike
 * @param targetMillis upper bound of the tail latency of a serving task
 * @param fills whether the tasks are best-effort: they get only the processor time that
 * other tasks leave unused
 * @param maximumAway how many tasks of a long-running step may be stopped at the same
 * time; 0 means no limit
 */
public record StepSpec(int taskCount, Resources resources, int estimatedMillis, List<Integer> after,
		boolean checkpointing, boolean gang, boolean sameRack, Optional<String> requiredLabel,
		Optional<String> dataRack, OptionalInt maximumPerRunner, boolean duplicatesAllowed, boolean longRunning,
		Optional<String> image, OptionalInt targetMillis, boolean fills, int maximumAway) {

	/** Bounds the memory used by one job. */
	private static final int MAXIMUM_TASKS = 10_000;

	public StepSpec {
		Checks.range("taskCount", taskCount, 1, MAXIMUM_TASKS);
		Checks.range("estimatedMillis", estimatedMillis, 0, Integer.MAX_VALUE);
		after = List.copyOf(after);
		if (after.stream().anyMatch((number) -> number < 0)) {
			throw new InvalidValueException("a step depends on a step with a negative number");
		}
	}

	/**
	 * Returns the share of the runner's capacity that a task reserves.
	 * @return the requested resources, without processor for best-effort tasks
	 */
	public Resources reserved() {
		return this.fills ? new Resources(0, this.resources.memoryMebibytes(), this.resources.accelerators())
				: this.resources;
	}

}
