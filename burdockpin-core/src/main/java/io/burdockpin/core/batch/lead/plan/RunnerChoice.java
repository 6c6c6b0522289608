package io.burdockpin.core.batch.lead.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Predicate;

import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.BatchTask;

/**
 * Chooses the runner of a task among the candidates of its pool. Long-running tasks are
 * packed onto few hosts, so that the others can be moved, and avoid hosts that have yet
 * to be maintained. Not thread-safe; owned by one placement round.
 */
final class RunnerChoice {

	private final BatchState state;

	private final Map<String, List<Candidate>> byPool = new HashMap<>();

	private final Map<String, Boolean> canAvoidSuspects = new HashMap<>();

	RunnerChoice(BatchState state, Collection<Candidate> candidates) {
		this.state = state;
		candidates
			.forEach((candidate) -> this.byPool.computeIfAbsent(candidate.runner().pool(), (pool) -> new ArrayList<>())
				.add(candidate));
	}

	/**
	 * Returns the runners of a pool.
	 * @param pool name of the pool
	 * @return candidates with their present free capacity; empty if the pool has no
	 * usable runner
	 */
	List<Candidate> candidates(String pool) {
		return Collections.unmodifiableList(this.byPool.getOrDefault(pool, List.of()));
	}

	/**
	 * Finds a runner with enough free capacity for a task.
	 * @param item step of the task
	 * @param task task to be started
	 * @param used number of tasks of the step on each runner
	 * @param rack rack of the gang, if it should stay on one
	 * @param filter further condition on the runner
	 * @return the preferred runner, or empty if there is none
	 */
	Optional<Candidate> find(WorkItem item, BatchTask task, Map<RunnerKey, Integer> used, Optional<String> rack,
			Predicate<Candidate> filter) {
		StepSpec spec = item.tasks().spec();
		OptionalInt maximum = spec.maximumPerRunner();
		boolean mayAvoid = canAvoidSuspects(item.queue().pool());
		boolean hasFailed = task.failures() > 0;
		Comparator<Candidate> order = Comparator
			.<Candidate, Boolean>comparing((candidate) -> !candidate.reliability().isSuitable(hasFailed))
			.thenComparing((candidate) -> !candidate.isLocalTo(spec))
			.thenComparing((candidate) -> rack.isPresent() && !rack.equals(candidate.runner().rack()));
		// Best fit by CPU, which keeps capacity free for large tasks on other
		// runners.
		Comparator<Candidate> bestFit = Comparator.comparingInt(Candidate::freeMillicores);
		Comparator<Candidate> mostLongRunning = Comparator.comparing(this::isMaintenanceDue)
			.thenComparing(Comparator.<Candidate>comparingInt((candidate) -> candidate.longRunning().cpuMillicores())
				.reversed());
		return this.byPool.getOrDefault(item.queue().pool(), List.of())
			.stream()
			.filter((candidate) -> candidate.fits(spec))
			.filter(filter)
			.filter((candidate) -> !mayAvoid || candidate.reliability().isSuitable(hasFailed))
			.filter((candidate) -> maximum.isEmpty()
					|| used.getOrDefault(candidate.runner().key(), 0) < maximum.getAsInt())
			.min(order.thenComparing(spec.longRunning() ? mostLongRunning : bestFit));
	}

	// Maintenance ends the tasks of a host.
	boolean isMaintenanceDue(Candidate candidate) {
		return this.state.hasUnfinishedMaintenance(candidate.runner().hostOrId());
	}

	// If at least half of the runners of a pool are suspect, the tasks are the more
	// likely cause, and waiting for the other runners would take longer.
	private boolean canAvoidSuspects(String pool) {
		return this.canAvoidSuspects.computeIfAbsent(pool, (name) -> {
			List<Candidate> candidates = this.byPool.getOrDefault(name, List.of());
			long suspects = candidates.stream()
				.filter((candidate) -> candidate.reliability() == RunnerReliability.SUSPECT)
				.count();
			return 2 * suspects < candidates.size();
		});
	}

}
