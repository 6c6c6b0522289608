package io.burdockpin.core.batch.lead.place;

import io.burdockpin.core.batch.model.TaskId;

/**
 * Follows the decisions of a placement round, for an explanation. Changes none of them.
 */
public interface PlacementObserver {

	/** Follows nothing. */
	PlacementObserver NONE = new PlacementObserver() {

		@Override
		public void onTurn(TaskId step, String pool) {
			// nothing to explain
		}

		@Override
		public void onLimit(PlacementLimit limit) {
			// nothing to explain
		}

		@Override
		public void onChoice(RunnerChoice choice, PlaceRequest request) {
			// nothing to explain
		}

		@Override
		public void onDecision(WaitingTask task, PlacementWait.Decision decision) {
			// nothing to explain
		}

	};

	/**
	 * A step has its turn. All further calls until the next turn are about it.
	 * @param step first task of the step
	 * @param pool pool of its queue
	 */
	void onTurn(TaskId step, String pool);

	/**
	 * A limit keeps the tasks of the step waiting.
	 * @param limit the limit
	 */
	void onLimit(PlacementLimit limit);

	/**
	 * A runner is about to be chosen.
	 * @param choice the candidates with their present capacity
	 * @param request what the task requires
	 */
	void onChoice(RunnerChoice choice, PlaceRequest request);

	/**
	 * It was decided whether a task or gang starts on the runners that were chosen.
	 * @param task the task, or the first member of the gang
	 * @param decision the decision with its reason
	 */
	void onDecision(WaitingTask task, PlacementWait.Decision decision);

}
