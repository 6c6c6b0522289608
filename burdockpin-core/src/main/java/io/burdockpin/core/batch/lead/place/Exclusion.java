package io.burdockpin.core.batch.lead.place;

import java.util.Optional;

/** Why a runner of the pool cannot take a task, in the order in which it is checked. */
public enum Exclusion {

	/** The runner is no candidate of the round. */
	NOT_USABLE("is leaving, moved, about to be moved, drained for maintenance, or has not answered lately") {

		@Override
		boolean applies(RunnerChoice choice, PlaceRequest request, Candidate candidate) {
			return false;
		}

	},

	/** The step requires a label that the runner does not have. */
	LABEL_MISSING("does not have the required label") {

		@Override
		boolean applies(RunnerChoice choice, PlaceRequest request, Candidate candidate) {
			return !candidate.hasLabelOf(request.spec());
		}

	},

	/** The task does not fit. */
	NO_CAPACITY("has too little free capacity") {

		@Override
		boolean applies(RunnerChoice choice, PlaceRequest request, Candidate candidate) {
			return !candidate.hasCapacityFor(request.spec());
		}

	},

	/** Recent runs on the runner failed or hardly progress, and others are sound. */
	UNRELIABLE("is unreliable according to its recent runs") {

		@Override
		boolean applies(RunnerChoice choice, PlaceRequest request, Candidate candidate) {
			return choice.canAvoidSuspects(request.pool()) && !candidate.reliability().isSuitable(request.hasFailed());
		}

	},

	/** The runner has as many tasks of the step as it may have. */
	MAXIMUM_PER_RUNNER("has as many tasks of the step as it may have") {

		@Override
		boolean applies(RunnerChoice choice, PlaceRequest request, Candidate candidate) {
			return request.permittedOn(candidate.runner().key()) == 0;
		}

	};

	private static final Exclusion[] ALL = values();

	private final String text;

	Exclusion(String text) {
		this.text = text;
	}

	/**
	 * Describes the reason for operators.
	 * @return the rest of a sentence about the runner
	 */
	public String text() {
		return this.text;
	}

	abstract boolean applies(RunnerChoice choice, PlaceRequest request, Candidate candidate);

	/**
	 * Finds the first reason that rules a candidate out.
	 * @param choice choice of the round
	 * @param request what the task requires
	 * @param candidate candidate of the pool
	 * @return empty if the candidate can take the task
	 */
	static Optional<Exclusion> first(RunnerChoice choice, PlaceRequest request, Candidate candidate) {
		for (Exclusion exclusion : ALL) {
			if (exclusion.applies(choice, request, candidate)) {
				return Optional.of(exclusion);
			}
		}
		return Optional.empty();
	}

}
