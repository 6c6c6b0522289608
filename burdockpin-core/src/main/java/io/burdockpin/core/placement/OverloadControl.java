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
	private static final long STEP_MILLIS = 15_000;

	private static final int FULL_PERCENT = 100;

	private final WorkerTable workers;

	private final UsageEstimator estimator;

	private final Map<HostName, Treatment> treatments = new HashMap<>();

	OverloadControl(WorkerTable workers, UsageEstimator estimator) {
		this.workers = workers;
		this.estimator = estimator;
	}

	// life cycle

	/** Forgets what was ordered, as a new leader does. */
	void restart() {
		this.treatments.clear();
	}

	/**
	 * Orders the next step for each overloaded worker.
	 * @param round the round
	 */
	void apply(PlacementRound round) {
		for (WorkerLoad worker : round.workers()) {
			if (this.workers.isLive(worker.name(), round.nowMillis())) {
				this.workers.lastOf(worker.name()).ifPresent((last) -> treat(round, worker, last.usage()));
			}
		}
	}

	// helpers

	private void treat(PlacementRound round, WorkerLoad worker, Resources usage) {
		UsageBand band = UsageBand.of(usage, worker.capacity());
		if (band.overloaded()) {
			takeStep(round, worker, band == UsageBand.MEMORY_OVER);
		}
		else if (band == UsageBand.CALM) {
			release(round, worker);
		}
	}

	private void takeStep(PlacementRound round, WorkerLoad worker, boolean memoryOver) {
		Treatment last = this.treatments.get(worker.name());
		if (last != null && round.nowMillis() - last.orderedMillis() < STEP_MILLIS) {
			return;
		}
		// Throttling frees no memory.
		OverloadStep first = memoryOver ? OverloadStep.CHECKPOINT : OverloadStep.THROTTLE;
		OverloadStep step = (last != null) ? last.step().next() : first;
		cheapestJob(round, worker, step).flatMap((job) -> step.orderFor(worker, job)).ifPresent(round::intervene);
		this.treatments.put(worker.name(), new Treatment(step, round.nowMillis()));
	}

	private Optional<PlacedJob> cheapestJob(PlacementRound round, WorkerLoad worker, OverloadStep step) {
		return worker.jobs()
			.stream()
			.filter((placed) -> !placed.stopping() && !placed.job().spec().urgent())
			.filter((placed) -> step.orderFor(worker, placed).isPresent())
			.max(Comparator
				.comparingLong((placed) -> this.estimator.expectedRemainingMillis(placed.job(), round.nowMillis())));
	}

	private void release(PlacementRound round, WorkerLoad worker) {
		if (this.treatments.remove(worker.name()) == null) {
			return;
		}
		for (PlacedJob placed : worker.jobs()) {
			boolean throttled = round.interventions()
				.pendingFor(placed.job())
				.filter((order) -> order.kind() == JobOrderKind.THROTTLE)
				.isPresent();
			if (throttled) {
				round.intervene(new JobIntervention(worker.name(), placed.job().id(), placed.job().leaseEpoch(),
						JobOrderKind.THROTTLE, FULL_PERCENT, "worker is no longer overloaded"));
			}
		}
	}

	/**
	 * The last step taken on a worker.
	 *
	 * @param step the step
	 * @param orderedMillis when it was ordered
	 */
	private record Treatment(OverloadStep step, long orderedMillis) {
	}

}
