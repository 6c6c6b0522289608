package io.burdockpin.core.batch.lead.place;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.BatchTask;
import io.burdockpin.core.batch.state.Occurrence;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * Where the tasks of a job run. Handles the loss of a whole rack: tasks of one job are
 * spread over racks where that costs nothing. Not thread-safe; owned by a placement
 * round.
 */
public final class JobPlaces {

	private final BatchState state;

	private final BatchJob job;

	private final StepTasks step;

	private final Map<RunnerKey, Integer> stepTasks = new HashMap<>();

	private final Map<Optional<String>, Integer> jobTasks = new HashMap<>();

	private boolean counted;

	private JobPlaces(BatchState state, BatchJob job, StepTasks step) {
		this.state = state;
		this.job = job;
		this.step = step;
	}

	/**
	 * Counts the runs of a job, once they are asked for.
	 * @param state replicated state, which does not change during a round
	 * @param job job to place
	 * @param step step to place, whose tasks are counted for each runner
	 * @return the counts
	 */
	public static JobPlaces of(BatchState state, BatchJob job, StepTasks step) {
		return new JobPlaces(state, job, step);
	}

	/**
	 * Adds a task of the step.
	 * @param runner its runner
	 */
	public void add(RunnerRecord runner) {
		merge(runner, 1);
	}

	/**
	 * Removes a task of the step that was added in this round.
	 * @param runner its runner
	 */
	public void remove(RunnerRecord runner) {
		merge(runner, -1);
	}

	int stepTasksOn(RunnerKey runner) {
		count();
		return this.stepTasks.getOrDefault(runner, 0);
	}

	int jobTasksOnRackOf(RunnerRecord runner) {
		count();
		return this.jobTasks.getOrDefault(runner.rack(), 0);
	}

	// helpers

	private void merge(RunnerRecord runner, int change) {
		count();
		this.stepTasks.merge(runner.key(), change, Integer::sum);
		this.jobTasks.merge(runner.rack(), change, Integer::sum);
	}

	private void count() {
		if (this.counted) {
			return;
		}
		this.counted = true;
		for (BatchTask task : this.step.changedTasks()) {
			task.run().ifPresent((run) -> this.stepTasks.merge(run.runner(), 1, Integer::sum));
		}
		for (Occurrence occurrence : this.job.occurrences()) {
			occurrence.steps()
				.stream()
				.filter((any) -> !any.isDone() && any.activeCount() > 0)
				.flatMap((any) -> any.changedTasks().stream())
				.forEach(this::countOnRack);
		}
	}

	private void countOnRack(BatchTask task) {
		task.run()
			.map(Run::runner)
			.flatMap(this.state::runner)
			.ifPresent((runner) -> this.jobTasks.merge(runner.rack(), 1, Integer::sum));
	}

}
