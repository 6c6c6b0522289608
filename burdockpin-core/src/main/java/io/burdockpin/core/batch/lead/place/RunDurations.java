package io.burdockpin.core.batch.lead.place;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.core.batch.lead.plan.DurationEstimator;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.Run;

/**
 * Measures the runs that a leader has assigned. Not thread-safe; owned by the leader.
 */
public final class RunDurations {

	private final BatchState state;

	private final DurationEstimator durations;

	/** Assignment times of the active runs. */
	private final Map<TaskId, Long> assignedMillis = new HashMap<>();

	/**
	 * Creates an instance that has measured nothing.
	 * @param state replicated state
	 * @param durations learns from the measured runs
	 */
	public RunDurations(BatchState state, DurationEstimator durations) {
		this.state = state;
		this.durations = durations;
	}

	/**
	 * Handles an assignment that was committed.
	 * @param task task of the run
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onAssigned(TaskId task, long nowMillis) {
		this.assignedMillis.put(task, nowMillis);
	}

	/**
	 * Returns when a run was assigned.
	 * @param run run of the replicated state
	 * @return monotonic time in milliseconds; empty if an earlier leader assigned it
	 */
	public OptionalLong assignedMillis(Run run) {
		Long assigned = this.assignedMillis.get(run.task());
		return (assigned != null) ? OptionalLong.of(assigned) : OptionalLong.empty();
	}

	/**
	 * Handles the end of a run that was committed. Only first runs are measured, since
	 * later ones may resume from a checkpoint.
	 * @param runner runner of the run
	 * @param end the end
	 * @param runEnds knows how long the run would have taken near its data
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onEnd(RunnerKey runner, BatchCommand.End end, RunEndEstimator runEnds, long nowMillis) {
		Optional.ofNullable(this.assignedMillis.remove(end.task()))
			.filter((startedMillis) -> end.outcome().isDone() && end.run() == 1)
			.ifPresent((startedMillis) -> this.state.job(end.task().job())
				.ifPresent((job) -> record(job, end.task().step(), runner, runEnds, nowMillis - startedMillis)));
	}

	private void record(BatchJob job, int step, RunnerKey runner, RunEndEstimator runEnds, long millis) {
		StepSpec spec = job.spec().steps().get(step);
		job.address()
			.ifPresent((queue) -> this.durations.addSample(queue, spec.estimatedMillis(),
					runEnds.nearMillis(spec, runner, millis)));
	}

}
