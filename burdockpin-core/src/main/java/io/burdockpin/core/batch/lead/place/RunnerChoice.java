package io.burdockpin.core.batch.lead.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.model.Resources;

/**
 * Chooses the runner of a task among the candidates of its pool. Handles a pool with
 * unreliable runners, with runners of different free capacity, and with hosts that have
 * yet to be maintained. Not thread-safe; owned by a placement round.
 */
public final class RunnerChoice {

	private final Map<String, List<Candidate>> byPool = new HashMap<>();

	/** Largest free amount in each dimension at the start of the round, by pool. */
	private final Map<String, Resources> largestFree = new HashMap<>();

	private final Map<String, Boolean> canAvoidSuspects = new HashMap<>();

	private final Predicate<Candidate> maintenanceDue;

	/**
	 * Creates the choice for one round.
	 * @param candidates runners that accept new tasks
	 * @param maintenanceDue tells whether the host of a candidate has yet to be
	 * maintained, which ends its tasks
	 */
	public RunnerChoice(List<Candidate> candidates, Predicate<Candidate> maintenanceDue) {
		this.maintenanceDue = maintenanceDue;
		candidates
			.forEach((candidate) -> this.byPool.computeIfAbsent(candidate.runner().pool(), (pool) -> new ArrayList<>())
				.add(candidate));
	}

	/**
	 * Returns the candidates of a pool.
	 * @param pool name of the pool
	 * @return candidates in the order in which they were given, empty if there are none
	 */
	public List<Candidate> candidates(String pool) {
		return this.byPool.getOrDefault(pool, List.of());
	}

	/**
	 * Checks whether the host of a candidate has yet to be maintained.
	 * @param candidate candidate of any pool
	 * @return {@code true} if maintenance will end its tasks
	 */
	public boolean isMaintenanceDue(Candidate candidate) {
		return this.maintenanceDue.test(candidate);
	}

	/**
	 * Chooses the runner that suits a task best.
	 * @param request what the task requires
	 * @param preferredRack rack of the other members of a gang, or empty
	 * @param filter further condition
	 * @return the runner, or empty if no runner of the pool permits the task now
	 */
	public Optional<Candidate> choose(PlaceRequest request, Optional<String> preferredRack,
			Predicate<Candidate> filter) {
		if (!request.spec().reserved().fitsIn(largestFree(request.pool()))) {
			return Optional.empty();
		}
		Comparator<Candidate> order = Comparator
			.<Candidate, Boolean>comparing((candidate) -> !candidate.reliability().isSuitable(request.hasFailed()))
			.thenComparing((candidate) -> !candidate.isLocalTo(request.spec()))
			.thenComparing(
					(candidate) -> preferredRack.isPresent() && !preferredRack.equals(candidate.runner().rack()));
		// Best fit by CPU, which keeps capacity free for large tasks on other runners.
		Comparator<Candidate> bestFit = Comparator.comparingInt(Candidate::freeMillicores);
		Comparator<Candidate> mostLongRunning = Comparator.comparing(this::isMaintenanceDue)
			.thenComparing(Comparator.<Candidate>comparingInt((candidate) -> candidate.longRunning().cpuMillicores())
				.reversed());
		return candidates(request.pool()).stream()
			.filter((candidate) -> Exclusion.first(this, request, candidate).isEmpty())
			.filter(filter)
			.min(order.thenComparing(request.spec().longRunning() ? mostLongRunning : bestFit)
				.thenComparingInt((candidate) -> request.places().jobTasksOnRackOf(candidate.runner())));
	}

	/**
	 * Checks whether a long-running task would exceed the share of a pool that such tasks
	 * may reserve.
	 * @param pool name of the pool
	 * @param spec step of the task
	 * @param share share of the capacity, from 0 to 1
	 * @return {@code true} if the rest is kept for other tasks
	 */
	public boolean exceedsLongRunningShare(String pool, StepSpec spec, double share) {
		double millicores = -spec.reserved().cpuMillicores();
		double mebibytes = -spec.reserved().memoryMebibytes();
		for (Candidate candidate : candidates(pool)) {
			Resources capacity = candidate.runner().capacity();
			millicores += share * capacity.cpuMillicores() - candidate.longRunning().cpuMillicores();
			mebibytes += share * capacity.memoryMebibytes() - candidate.longRunning().memoryMebibytes();
		}
		return millicores < 0 || mebibytes < 0;
	}

	// Capacity only decreases during a round. Steps that fit no runner may be many, so
	// they must not cost a visit of each runner.
	private Resources largestFree(String pool) {
		return this.largestFree.computeIfAbsent(pool, (name) -> {
			Resources largest = Resources.NONE;
			for (Candidate candidate : candidates(name)) {
				largest = largest.largestOf(candidate.free());
			}
			return largest;
		});
	}

	// If at least half of the runners of a pool are suspect, the tasks are the more
	// likely cause, and waiting for the other runners would take longer.
	boolean canAvoidSuspects(String pool) {
		return this.canAvoidSuspects.computeIfAbsent(pool, (name) -> {
			List<Candidate> candidates = candidates(name);
			long suspects = candidates.stream()
				.filter((candidate) -> candidate.reliability() == RunnerReliability.SUSPECT)
				.count();
			return 2 * suspects < candidates.size();
		});
	}

}
