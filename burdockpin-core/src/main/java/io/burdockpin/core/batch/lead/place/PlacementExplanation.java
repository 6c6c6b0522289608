package io.burdockpin.core.batch.lead.place;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.batch.model.QueueAddress;

/**
 * Where a job would be placed now, and why. Immutable.
 *
 * @param job identifier of the job
 * @param accepted whether the job is known; otherwise it was explained as if it were
 * submitted now
 * @param phase phase of the job
 * @param queue host and path prefix of the queue; empty if the queue of an accepted job
 * is not known
 * @param pool pool of the queue, empty if not known
 * @param priority priority of the queue, 0 is the highest
 * @param workspace workspace that is charged; empty without a key
 * @param refusal reason for which the submission would be refused
 * @param retryAfterMillis delay before a retry of a refused submission, in milliseconds
 * @param steps the steps of the open occurrences
 * @param stateIndex index of the last log entry that was applied
 * @param stateAgeMillis time since that entry was applied, in milliseconds
 * @param responder host of the leader that explained
 */
public record PlacementExplanation(String job, boolean accepted, String phase, Optional<QueueAddress> queue,
		String pool, int priority, String workspace, Optional<String> refusal, Optional<Integer> retryAfterMillis,
		List<Step> steps, long stateIndex, long stateAgeMillis, String responder) {

	public PlacementExplanation {
		steps = List.copyOf(steps);
	}

	/**
	 * Explains a submission that would be refused.
	 * @param path path of the call, which names the queue and the job
	 * @param reason name of the reason
	 * @param retryAfterMillis delay before a retry, in milliseconds; empty if a retry is
	 * of no use
	 * @return explanation without steps
	 */
	public static PlacementExplanation refused(String path, String reason, Optional<Integer> retryAfterMillis) {
		return new PlacementExplanation(path, false, "", Optional.empty(), "", 0, "", Optional.of(reason),
				retryAfterMillis, List.of(), 0, 0, "");
	}

	/**
	 * Returns the explanation with its origin.
	 * @param index index of the last log entry that was applied
	 * @param ageMillis time since that entry was applied, in milliseconds
	 * @param host host of the leader
	 * @return the same explanation
	 */
	public PlacementExplanation from(long index, long ageMillis, String host) {
		return new PlacementExplanation(this.job, this.accepted, this.phase, this.queue, this.pool, this.priority,
				this.workspace, this.refusal, this.retryAfterMillis, this.steps, index, ageMillis, host);
	}

	/**
	 * One step of an occurrence.
	 *
	 * @param occurrence number of the occurrence
	 * @param step number of the step
	 * @param state whether its tasks are done, run, wait for earlier steps or for a place
	 * @param position its position among the waiting steps of the pool, from 1; empty if
	 * it had no turn
	 * @param limit limit that binds
	 * @param decision why its tasks start or wait, of the last task that was decided
	 * @param waitMillis longest remaining time of the wait, in milliseconds; 0 without
	 * @param places runners that the next round would assign
	 * @param candidates runners of the pool with the first reason that rules each out
	 */
	public record Step(int occurrence, int step, StepState state, Optional<Integer> position,
			Optional<PlacementLimit> limit, Optional<PlacementReason> decision, long waitMillis, List<Place> places,
			List<Considered> candidates) {

		public Step {
			places = List.copyOf(places);
			candidates = List.copyOf(candidates);
		}

	}

	/** State of a step. */
	public enum StepState {

		/** All tasks are done. */
		DONE,

		/** No task waits. */
		RUNNING,

		/** An earlier step is not done. */
		NOT_READY,

		/** Tasks wait for a place. */
		WAITING

	}

	/**
	 * A task that the next round would assign.
	 *
	 * @param task index of the task in its step
	 * @param runner identifier of the runner
	 * @param rack rack of the runner, empty if not known
	 */
	public record Place(int task, String runner, String rack) {

	}

	/**
	 * A runner of the pool.
	 *
	 * @param runner identifier of the runner
	 * @param rack rack of the runner, empty if not known
	 * @param freeMillicores free processor capacity in thousandths of a core when the
	 * step had its turn
	 * @param exclusion first reason that rules it out, empty if it can take the task
	 */
	public record Considered(String runner, String rack, int freeMillicores, Optional<Exclusion> exclusion) {

	}

}
