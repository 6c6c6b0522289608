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
 * Answers workers whose reported usage exceeds their capacity. Mutable, owned by one
 * planner. One job is treated at a time, and each step waits until its effect shows in
 * the reports, which lag.
 */
final class OverloadControl {

	/** Reports show the effect of an order only after this time. */
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

	/** Forgets what was ordered, as a new leader does. */
	void reset() {
		this.lastSteps.clear();
	}

	/**
	 * Orders the next step for each overloaded worker.
	 * @param round the round
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
	 * The last step taken on a worker.
	 *
	 * @param step the step
	 * @param orderedMillis when it was ordered
	 */
	private record LastStep(OverloadStep step, long orderedMillis) {
	}

}
