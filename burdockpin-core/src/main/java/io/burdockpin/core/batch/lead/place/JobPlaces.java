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

	private final Map<RunnerKey, Integer> stepTasks = new HashMap<>();

	private final Map<Optional<String>, Integer> jobTasks = new HashMap<>();

	/**
	 * Counts the runs of a job.
	 * @param state replicated state
	 * @param job job to place
	 * @param step step to place, whose tasks are counted for each runner
	 * @return the counts
	 */
	public static JobPlaces of(BatchState state, BatchJob job, StepTasks step) {
		JobPlaces places = new JobPlaces();
		for (BatchTask task : step.tasks()) {
			task.run().ifPresent((run) -> places.stepTasks.merge(run.runner(), 1, Integer::sum));
		}
		for (Occurrence occurrence : job.occurrences()) {
			for (StepTasks any : occurrence.steps()) {
				if (!any.isDone()) {
					any.tasks()
						.forEach((task) -> task.run()
							.map(Run::runner)
							.flatMap(state::runner)
							.ifPresent((runner) -> places.jobTasks.merge(runner.rack(), 1, Integer::sum)));
				}
			}
		}
		return places;
	}

	/**
	 * Adds a task of the step.
	 * @param runner its runner
	 */
	public void add(RunnerRecord runner) {
		this.stepTasks.merge(runner.key(), 1, Integer::sum);
		this.jobTasks.merge(runner.rack(), 1, Integer::sum);
	}

	/**
	 * Removes a task of the step that was added in this round.
	 * @param runner its runner
	 */
	public void remove(RunnerRecord runner) {
		this.stepTasks.merge(runner.key(), -1, Integer::sum);
		this.jobTasks.merge(runner.rack(), -1, Integer::sum);
	}

	int stepTasksOn(RunnerKey runner) {
		return this.stepTasks.getOrDefault(runner, 0);
	}

	int jobTasksOnRackOf(RunnerRecord runner) {
		return this.jobTasks.getOrDefault(runner.rack(), 0);
	}

}
