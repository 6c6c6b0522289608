package io.burdockpin.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.placement.WorkerLoad.PlacedJob;

/**
 * Relieves workers whose reported usage exceeds their capacity. Acts on one job of a
 * worker at a time and takes the next step only when reports can show the effect of the
 * previous one. Not thread-safe; owned by one planner.
 */
final class OverloadControl {

	/**
	 * Minimum time between two steps on a worker, because usage reports lag behind
	 * orders.
	 */
	private static final long STEP_INTERVAL_MILLIS = 15_000;

	private static final int UNTHROTTLED_PERCENT = 100;

	private final WorkerTable workers;

	private final UsageEstimator estimator;

	private final Map<HostName, LastStep> lastSteps = new HashMap<>();

	OverloadControl(WorkerTable workers, UsageEstimator estimator) {
		this.workers = workers;
		this.estimator = estimator;
	}

	// life cycle

	/** Discards the steps taken so far at the start of a new term. */
	void reset() {
		this.lastSteps.clear();
	}

	/**
	 * Takes the next step on each overloaded worker and lifts throttles on workers with
	 * low usage.
	 * @param round the current placement round
	 */
	void apply(PlacementRound round) {
		for (WorkerLoad worker : round.workers()) {
			if (this.workers.isLive(worker.name(), round.nowMillis())) {
				this.workers.lastReport(worker.name()).ifPresent((last) -> handleUsage(round, worker, last.usage()));
			}
		}
	}

	// helpers

	private void handleUsage(PlacementRound round, WorkerLoad worker, Resources usage) {
		UsageBand band = UsageBand.of(usage, worker.capacity());
		if (band.overloaded()) {
			applyNextStep(round, worker, band == UsageBand.MEMORY_OVERLOADED);
		}
		else if (band == UsageBand.LOW) {
			liftThrottles(round, worker);
		}
	}

	private void applyNextStep(PlacementRound round, WorkerLoad worker, boolean memoryOverloaded) {
		LastStep last = this.lastSteps.get(worker.name());
		if (last != null && round.nowMillis() - last.orderedMillis() < STEP_INTERVAL_MILLIS) {
			return;
		}
		// Throttling frees no memory.
		OverloadStep first = memoryOverloaded ? OverloadStep.CHECKPOINT : OverloadStep.THROTTLE;
		OverloadStep step = (last != null) ? last.step().next() : first;
		longestRemainingJob(round, worker, step).flatMap((job) -> step.interventionFor(worker, job))
			.ifPresent(round::intervene);
		this.lastSteps.put(worker.name(), new LastStep(step, round.nowMillis()));
	}

	private Optional<PlacedJob> longestRemainingJob(PlacementRound round, WorkerLoad worker, OverloadStep step) {
		return worker.jobs()
			.stream()
			.filter((placed) -> !placed.stopping() && !placed.job().spec().urgent())
			.filter((placed) -> step.interventionFor(worker, placed).isPresent())
			.max(Comparator
				.comparingLong((placed) -> this.estimator.expectedRemainingMillis(placed.job(), round.nowMillis())));
	}

	private void liftThrottles(PlacementRound round, WorkerLoad worker) {
		if (this.lastSteps.remove(worker.name()) == null) {
			return;
		}
		for (PlacedJob placed : worker.jobs()) {
			boolean throttled = round.interventions()
				.pendingFor(placed.job())
				.filter((order) -> order.kind() == JobOrderKind.THROTTLE)
				.isPresent();
			if (throttled) {
				round.intervene(new JobIntervention(worker.name(), placed.job().id(), placed.job().leaseEpoch(),
						JobOrderKind.THROTTLE, UNTHROTTLED_PERCENT, "worker is no longer overloaded"));
			}
		}
	}

	/**
	 * Last step taken on a worker.
	 *
	 * @param step the step, from which the next one follows
	 * @param orderedMillis when the step was ordered
	 */
	private record LastStep(OverloadStep step, long orderedMillis) {
	}

}
