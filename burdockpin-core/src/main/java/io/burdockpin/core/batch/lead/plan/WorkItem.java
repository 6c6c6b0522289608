package io.burdockpin.core.batch.lead.plan;

import java.util.Comparator;
import java.util.OptionalLong;

import io.burdockpin.core.batch.lead.place.JobPlaces;
import io.burdockpin.core.batch.lead.place.PlaceRequest;
import io.burdockpin.core.batch.lead.place.WaitingTask;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchTask;
import io.burdockpin.core.batch.state.Occurrence;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * Step with tasks that are waiting for placement.
 *
 * @param job job of the step
 * @param queue queue of the job
 * @param occurrence occurrence of the job
 * @param step number of the step
 * @param tasks tasks of the step
 * @param urgency placement class of the step
 * @param slackMillis time until the objective minus the remaining work, in milliseconds
 * @param standing rank of the job while its pool lacks capacity
 */
record WorkItem(BatchJob job, BatchQueue queue, Occurrence occurrence, int step, StepTasks tasks, Urgency urgency,
		long slackMillis, Standing standing) {

	/**
	 * Order of placement: urgency, then priority of the queue, then standing while the
	 * pool lacks capacity, then least slack. Of the late jobs the least late one comes
	 * first, since the value of a result decreases with its delay.
	 */
	static final Comparator<WorkItem> ORDER = Comparator.comparing(WorkItem::urgency)
		.thenComparingInt((item) -> item.queue().priority())
		.thenComparing(WorkItem::standing)
		.thenComparingLong((item) -> item.standing().key(item))
		.thenComparing((item) -> item.job().id());

	/**
	 * Describes a task of the step for the choice of its runner.
	 * @param task task of the step
	 * @param places where the tasks of the job run
	 * @return what the task requires
	 */
	PlaceRequest request(BatchTask task, JobPlaces places) {
		return new PlaceRequest(this.queue.pool(), this.tasks.spec(), task.failures() > 0, places);
	}

	/**
	 * Estimates the duration of the tasks.
	 * @param durations estimator for task durations
	 * @return duration of each task in milliseconds; 0 for a long-running step
	 */
	long durationMillis(DurationEstimator durations) {
		StepSpec spec = this.tasks.spec();
		return spec.longRunning() ? 0
				: durations.estimateMillis(this.job.address().orElseThrow(), spec.estimatedMillis());
	}

	/**
	 * Describes a task that could start.
	 * @param index index of the task, or of the first member of a gang
	 * @param count number of tasks that start together
	 * @param run number of the run
	 * @param places where the tasks of the job run
	 * @param durationMillis expected duration of each task of the step, in milliseconds
	 * @return the task
	 */
	WaitingTask waitingTask(int index, int count, int run, JobPlaces places, long durationMillis) {
		StepSpec spec = this.tasks.spec();
		// Only the leader of that time knows when an earlier step or run has ended.
		OptionalLong readyMillis = (spec.after().isEmpty() && run == 1)
				? OptionalLong.of(this.job.spec().dueMillis(this.occurrence.number(), this.job.acceptedMillis()))
				: OptionalLong.empty();
		return new WaitingTask(new TaskId(this.job.id(), this.occurrence.number(), this.step, index), run, count,
				request(this.tasks.tasks().get(index), places), durationMillis, this.slackMillis, readyMillis);
	}

	WorkItem withStanding(Standing newStanding) {
		return new WorkItem(this.job, this.queue, this.occurrence, this.step, this.tasks, this.urgency,
				this.slackMillis, newStanding);
	}

	/** Placement classes, the most urgent first. */
	enum Urgency {

		/**
		 * Long-running step that has been started before. Its unavailable tasks use up
		 * the budget that maintenance needs. Or a new one that has waited although its
		 * pool is underused; its tasks are then placed one by one.
		 */
		RESTORE,

		/** Can still meet its latency objective. */
		IN_TIME,

		/**
		 * Serves its own users until it is cancelled, and has a lower value per share of
		 * a host than work that can meet its objective.
		 */
		LONG_RUNNING,

		/** Will miss its objective and has little value left for its caller. */
		LATE

	}

}
