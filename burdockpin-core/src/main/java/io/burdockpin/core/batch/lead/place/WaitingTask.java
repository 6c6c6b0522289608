package io.burdockpin.core.batch.lead.place;

import java.util.OptionalLong;

import io.burdockpin.core.batch.model.TaskId;

/**
 * Task, or gang, that could start now.
 *
 * @param task identifier of the task, or of the first member of the gang
 * @param run number of the run that would start
 * @param count number of tasks that start together
 * @param request what each task requires
 * @param durationMillis expected duration near the data, in milliseconds; 0 if not known
 * or without an end
 * @param slackMillis time for which the job can wait and still meet its objective, in
 * milliseconds; negative if it is late
 * @param readyMillis when the task became ready, in milliseconds since 1970; empty if
 * only the leader of that time knows
 */
public record WaitingTask(TaskId task, int run, int count, PlaceRequest request, long durationMillis, long slackMillis,
		OptionalLong readyMillis) {

}
