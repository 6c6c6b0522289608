package io.burdockpin.core.batch.lead.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * A sequence of actions with pauses. A seed determines the whole sequence and everything
 * that happens in it.
 *
 * @param seed seed of the model
 * @param steps actions in order
 */
record FleetSequence(long seed, List<Step> steps) {

	private static final int START_MILLIS = 2_000;

	/** Longer than all leases, retention times and restarts together. */
	private static final int RECOVERY_MILLIS = 40_000;

	/** Longer than any item may stay in {@link Overdue} in calm. */
	private static final int OBSERVATION_MILLIS = 6_000;

	private static final int MINIMUM_STEPS = 10;

	private static final int MAXIMUM_STEPS = 40;

	FleetSequence {
		steps = List.copyOf(steps);
	}

	static FleetSequence of(long seed) {
		Random random = new Random(seed);
		int count = random.nextInt(MINIMUM_STEPS, MAXIMUM_STEPS);
		// Half of the sequences have short pauses, so that the actions meet.
		int maximumPauseMillis = random.nextBoolean() ? 100 : 1_500;
		List<Step> steps = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			steps.add(new Step(randomAction(random), random.nextInt(maximumPauseMillis)));
		}
		return new FleetSequence(seed, steps);
	}

	/**
	 * Runs the sequence and lets the fleet recover.
	 * @return what went wrong, empty if nothing did
	 */
	List<String> failures() {
		FleetModel model = new FleetModel(this.seed);
		model.run(START_MILLIS);
		this.steps.forEach((step) -> {
			step.action().perform(model);
			model.run(step.pauseMillis());
		});
		model.calm();
		model.run(RECOVERY_MILLIS);
		List<String> before = Overdue.of(model);
		model.run(OBSERVATION_MILLIS);
		List<String> failures = new ArrayList<>(model.checks().violations());
		failures.addAll(Overdue.of(model).stream().filter(before::contains).toList());
		if (!model.scheduler().agrees()) {
			failures.add("the members have different states");
		}
		return failures;
	}

	/** Leaves out actions as long as the sequence still fails. */
	FleetSequence shrink() {
		FleetSequence shortest = this;
		for (int number = shortest.steps.size() - 1; number >= 0; number--) {
			List<Step> fewer = new ArrayList<>(shortest.steps);
			fewer.remove(number);
			FleetSequence candidate = new FleetSequence(this.seed, fewer);
			shortest = candidate.failures().isEmpty() ? shortest : candidate;
		}
		return shortest;
	}

	private static FleetAction randomAction(RandomGenerator random) {
		int choice = random.nextInt(Arrays.stream(FleetAction.values()).mapToInt(FleetAction::weight).sum());
		for (FleetAction action : FleetAction.values()) {
			choice -= action.weight();
			if (choice < 0) {
				return action;
			}
		}
		throw new IllegalStateException("the weights do not add up");
	}

	record Step(FleetAction action, int pauseMillis) {

	}

}
