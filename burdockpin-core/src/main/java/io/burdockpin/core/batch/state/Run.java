package io.burdockpin.core.batch.state;

import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.model.Resources;

/**
 * A run of a task on a runner. It exists from the commit of its assignment until its end
 * is certain and counts against capacity and limits all that time.
 *
 * @param task the task that is executed
 * @param number increases with each run of the task
 * @param runner the incarnation of the runner
 * @param workspace the workspace that is charged; empty for jobs submitted without a key
 * @param reserved resources reserved on the runner
 * @param charged resources charged to the limit of the workspace
 * @param longRunning whether the task runs until its job is cancelled
 */
public record Run(TaskId task, int number, RunnerKey runner, String workspace, Resources reserved, Resources charged,
		boolean longRunning) {

}
