package io.burdockpin.core.batch.lead.run;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.burdockpin.core.batch.lead.plan.DurationEstimator;
import io.burdockpin.core.batch.model.QueueAddress;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.BatchTask;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * Properties of a run that its runner needs or that affect its supervision. Immutable.
 *
 * @param specification specification of the job
 * @param checkpoint checkpoint to resume from, empty to start from the beginning
 * @param bestEffort whether the task only uses CPU time that other tasks leave idle
 * @param estimatedMillis estimated duration on a healthy runner, or empty if it is not
 * known or depends on other tasks
 * @param targetMillis tail latency target of a serving task, or empty
 */
public record RunSpec(String specification, String checkpoint, boolean bestEffort, OptionalLong estimatedMillis,
		OptionalInt targetMillis) {

	public static RunSpec of(TaskId task, BatchState state, DurationEstimator durations) {
		Optional<StepSpec> step = state.step(task).map(StepTasks::spec);
		return new RunSpec(state.job(task.job()).map((job) -> job.spec().specification()).orElse(""),
				state.task(task).map(BatchTask::checkpoint).orElse(""), step.filter(StepSpec::fills).isPresent(),
				estimate(task, step, state, durations), step.map(StepSpec::targetMillis).orElse(OptionalInt.empty()));
	}

	private static OptionalLong estimate(TaskId task, Optional<StepSpec> step, BatchState state,
			DurationEstimator durations) {
		boolean isPlain = step.filter((spec) -> !spec.longRunning() && !spec.gang() && !spec.fills()).isPresent();
		Optional<QueueAddress> queue = state.job(task.job()).flatMap(BatchJob::address);
		if (!isPlain || queue.isEmpty() || step.get().estimatedMillis() <= 0) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(durations.estimateMillis(queue.get(), step.get().estimatedMillis()));
	}

}
