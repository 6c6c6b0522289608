package io.burdockpin.core.batch.lead;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.BatchTask;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * What a run is about, as far as its runner has to know or affects it. Immutable.
 *
 * @param specification the text of the job
 * @param checkpoint the progress to resume from, empty to start at the beginning
 * @param bestEffort whether the task uses only what other tasks leave of the processor
 * @param estimatedMillis how long the task takes on a sound runner; nothing if that is
 * not known or depends on other tasks
 * @param targetMillis bound of the tail latency that a serving task has to keep
 */
public record RunSpec(String specification, String checkpoint, boolean bestEffort, OptionalLong estimatedMillis,
		OptionalInt targetMillis) {

	static RunSpec of(TaskId task, BatchState state, DurationEstimator durations) {
		Optional<StepSpec> step = state.step(task).map(StepTasks::spec);
		return new RunSpec(state.job(task.job()).map((job) -> job.spec().specification()).orElse(""),
				state.task(task).map(BatchTask::checkpoint).orElse(""), step.filter(StepSpec::fills).isPresent(),
				estimate(task, step, state, durations), step.map(StepSpec::targetMillis).orElse(OptionalInt.empty()));
	}

	private static OptionalLong estimate(TaskId task, Optional<StepSpec> step, BatchState state,
			DurationEstimator durations) {
		boolean isPlain = step.filter((spec) -> !spec.longRunning() && !spec.gang() && !spec.fills()).isPresent();
		Optional<String> queue = state.job(task.job()).map(BatchJob::queue);
		if (!isPlain || queue.isEmpty() || step.get().estimatedMillis() <= 0) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(durations.estimateMillis(queue.get(), step.get().estimatedMillis()));
	}

}
