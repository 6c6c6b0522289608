package io.burdockpin.core.batch.lead.wave;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.state.BatchTask;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * Budget of a long-running step: how many of its tasks may be stopped at the same time.
 * Stateless.
 */
public final class DisruptionBudget {

	/**
	 * Checks whether a task may be stopped now. If it may not, the runners of the tasks
	 * that are away are asked for their progress at short intervals.
	 * @param run run of the task
	 * @param step long-running step of the task
	 * @param sessions sessions with the runners
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if less than {@code maximumAway} other tasks of the step are
	 * away, or the step has no budget
	 */
	public boolean permitsStop(Run run, StepTasks step, Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		int maximumAway = step.spec().maximumAway();
		if (maximumAway == 0) {
			return true;
		}
		int neverStarted = step.spec().taskCount() - step.changedTasks().size();
		List<BatchTask> away = unavailableOthers(run, step, sessions, nowMillis);
		if (neverStarted + away.size() < maximumAway) {
			return true;
		}
		away.forEach((task) -> awaitProgress(task, sessions));
		return false;
	}

	private static List<BatchTask> unavailableOthers(Run run, StepTasks step, Map<RunnerKey, RunnerSession> sessions,
			long nowMillis) {
		List<BatchTask> away = new ArrayList<>();
		List<BatchTask> tasks = step.changedTasks();
		for (int index = 0; index < tasks.size(); index++) {
			if (index != run.task().index() && !isAvailable(tasks.get(index), sessions, nowMillis)) {
				away.add(tasks.get(index));
			}
		}
		return away;
	}

	private static void awaitProgress(BatchTask task, Map<RunnerKey, RunnerSession> sessions) {
		task.run()
			.flatMap((run) -> Optional.ofNullable(sessions.get(run.runner())))
			.ifPresent(RunnerSession::awaitProgress);
	}

	// The latest listing of a silent runner may contain tasks that have ended since.
	private static boolean isAvailable(BatchTask task, Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		return task.run()
			.flatMap((run) -> Optional.ofNullable(sessions.get(run.runner()))
				.filter((session) -> session.isResponsive(nowMillis) && !session.isStopping(run.task()))
				.map((session) -> session.percent(run.task())))
			.filter((percent) -> percent == 100)
			.isPresent();
	}

}
