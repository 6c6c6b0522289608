package io.burdockpin.core.batch.lead;

import java.util.Optional;
import java.util.OptionalInt;

import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.BatchTask;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * What a run is about, as far as its runner has to know or affects it. Immutable.
 *
 * @param specification the text of the job
 * @param checkpoint the progress to resume from, empty to start at the beginning
 * @param fills whether the task uses only what other tasks leave of the processor
 * @param targetMillis bound of the tail latency that a serving task has to keep
 */
public record RunContent(String specification, String checkpoint, boolean fills, OptionalInt targetMillis) {

	static RunContent of(TaskId task, BatchState state) {
		Optional<StepSpec> step = state.step(task).map(StepTasks::spec);
		return new RunContent(state.job(task.job()).map((job) -> job.spec().specification()).orElse(""),
				state.task(task).map(BatchTask::checkpoint).orElse(""), step.filter(StepSpec::fills).isPresent(),
				step.map(StepSpec::targetMillis).orElse(OptionalInt.empty()));
	}

}
