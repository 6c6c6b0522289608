package io.burdockpin.core.batch.lead.place;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.Occurrence;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * Decisions of one placement round about better places: which tasks wait, and on which
 * rack a gang starts. Handles one rack that many jobs want: each task that waits reserves
 * the place that it expects, so that the next one expects a later place. Not thread-safe;
 * owned by the round.
 */
public final class PlacementRound {

	private final BatchState state;

	private final RunnerChoice runnerChoice;

	private final PlacementWaits waits;

	private final NearPlaces nearPlaces;

	private final long wallMillis;

	private final Map<String, Boolean> fullPools = new HashMap<>();

	PlacementRound(BatchState state, RunnerChoice runnerChoice, PlacementWaits waits, long wallMillis) {
		this.state = state;
		this.runnerChoice = runnerChoice;
		this.waits = waits;
		this.wallMillis = wallMillis;
		this.nearPlaces = new NearPlaces(state, runnerChoice, waits.expected());
	}

	/**
	 * Returns who follows the decisions of the round.
	 * @return the observer, {@link PlacementObserver#NONE} unless an explanation was
	 * asked for
	 */
	public PlacementObserver observer() {
		return this.waits.observer();
	}

	/**
	 * Notes an assignment, whose capacity the candidate has reserved.
	 * @param candidate runner of the task
	 * @param task task that was assigned
	 */
	public void onAssigned(Candidate candidate, WaitingTask task) {
		if (this.waits.rule().canPay() && task.durationMillis() > 0) {
			double factor = candidate.isLocalTo(task.request().spec()) ? 1 : this.waits.rule().remoteFactor().orElse(1);
			this.nearPlaces.onAssigned(candidate.runner().key(), task.request().spec().reserved(),
					Math.round(factor * task.durationMillis()));
		}
	}

	/**
	 * Decides whether a task starts on the runner that was chosen for it.
	 * @param task task that could start
	 * @param chosen runner that was chosen
	 * @return the decision with its reason
	 */
	public PlacementWait.Decision decide(WaitingTask task, Candidate chosen) {
		StepSpec spec = task.request().spec();
		if (chosen.isLocalTo(spec)) {
			return decided(task, PlacementWait.Decision.start(PlacementReason.NEAR));
		}
		return decideFar(task,
				(limitMillis) -> this.nearPlaces.earliest(task.request(), spec.dataRack().orElseThrow(), limitMillis));
	}

	/**
	 * Decides whether a gang starts on the runners that were chosen for it.
	 * @param gang gang that could start, whose members reserve nothing yet
	 * @param members the runner that was chosen for each member
	 * @return the decision with its reason
	 */
	public PlacementWait.Decision decideGang(WaitingTask gang, List<Candidate> members) {
		if (isNear(gang.request().spec(), members)) {
			return decided(gang, PlacementWait.Decision.start(PlacementReason.NEAR));
		}
		return decideFar(gang, (limitMillis) -> this.nearPlaces.earliestForAll(gang.request(),
				wantedRacks(gang.request()), gang.count(), limitMillis));
	}

	private static boolean isNear(StepSpec spec, List<Candidate> members) {
		boolean isLocal = members.stream().allMatch((candidate) -> candidate.isLocalTo(spec));
		return isLocal && (!spec.sameRack()
				|| members.stream().map((candidate) -> candidate.runner().rack()).distinct().count() == 1);
	}

	/**
	 * Chooses the rack on which a whole gang can start now.
	 * @param request what each member requires
	 * @param count number of members
	 * @param preferred rack of the runner that suits the first member best
	 * @return the data rack if the step has one and the gang fits there; otherwise the
	 * preferred rack if the gang fits there, then the one with the fewest places; empty
	 * if no rack has room for all members, or if the step wants no rack
	 */
	public Optional<String> rackForGang(PlaceRequest request, int count, Optional<String> preferred) {
		StepSpec spec = request.spec();
		if (spec.dataRack().filter((rack) -> hasRoom(request, rack, count)).isPresent()) {
			return spec.dataRack();
		}
		if (!spec.sameRack() || preferred.filter((rack) -> hasRoom(request, rack, count)).isPresent()) {
			return spec.sameRack() ? preferred : Optional.empty();
		}
		return this.nearPlaces.racks(request.pool())
			.stream()
			.filter((rack) -> hasRoom(request, rack, count))
			.min(Comparator.comparingLong((rack) -> this.nearPlaces.placesNow(request, rack)));
	}

	private boolean hasRoom(PlaceRequest request, String rack, int count) {
		return this.nearPlaces.placesNow(request, rack) >= count;
	}

	private List<String> wantedRacks(PlaceRequest request) {
		return request.spec().dataRack().map(List::of).orElseGet(() -> this.nearPlaces.racks(request.pool()));
	}

	private PlacementWait.Decision decideFar(WaitingTask task, PlaceFinder finder) {
		PlacementWait rule = this.waits.rule();
		if (!rule.canPay()) {
			return decided(task, PlacementWait.Decision.start(PlacementReason.FACTOR_UNKNOWN));
		}
		boolean full = isFull(task.request().pool());
		OptionalLong endMillis = this.waits.endMillis(task);
		PlacementWait.Situation situation = new PlacementWait.Situation(task.durationMillis(), task.slackMillis(), full,
				OptionalLong.empty(), this.waits.beginMillis(task, this.wallMillis), endMillis, this.wallMillis);
		Optional<NearPlaces.Place> place = finder.find(Math.max(0, rule.limitMillis(situation) - this.wallMillis));
		OptionalLong nearMillis = place.map((found) -> OptionalLong.of(this.wallMillis + found.atMillis()))
			.orElse(OptionalLong.empty());
		PlacementWait.Decision decision = rule.decide(situation.withNearPlace(nearMillis));
		if (!decision.reason().starts()) {
			reserve(task, place.orElseThrow(), full);
		}
		return decided(task, decision);
	}

	private void reserve(WaitingTask task, NearPlaces.Place place, boolean full) {
		StepSpec spec = task.request().spec();
		// In a full pool the capacity that others can use meanwhile is worth more than
		// the certainty of the place.
		if (!full && task.count() == 1 && place.atMillis() > 0) {
			this.nearPlaces.hold(place, spec);
		}
		this.nearPlaces.reserve(place, spec, task.durationMillis());
	}

	private PlacementWait.Decision decided(WaitingTask task, PlacementWait.Decision decision) {
		observer().onDecision(task, decision);
		if (decision.reason().starts()) {
			this.waits.end(task, decision.reason(), this.wallMillis);
		}
		else {
			this.waits.begin(task, decision.untilMillis(), this.wallMillis);
		}
		return decision;
	}

	/**
	 * Checks whether the tasks that wait for a pool need more than its free capacity.
	 * @param pool name of the pool
	 * @return {@code true} if capacity that a task leaves free is used by others
	 */
	private boolean isFull(String pool) {
		return this.fullPools.computeIfAbsent(pool, (name) -> {
			long freeMillicores = this.runnerChoice.candidates(name)
				.stream()
				.map(Candidate::runner)
				.mapToLong(
						(runner) -> runner.capacity().minus(this.state.runs().reservedOn(runner.key())).cpuMillicores())
				.sum();
			long waitingMillicores = 0;
			for (BatchJob job : this.state.activeJobs()) {
				if (job.configuredQueue().filter((queue) -> queue.pool().equals(name)).isPresent()) {
					waitingMillicores += waitingMillicores(job);
				}
			}
			return waitingMillicores > freeMillicores;
		});
	}

	private static long waitingMillicores(BatchJob job) {
		long sum = 0;
		for (Occurrence occurrence : job.occurrences()) {
			for (int number = 0; number < occurrence.steps().size(); number++) {
				StepTasks step = occurrence.steps().get(number);
				if (!step.isDone() && !step.spec().longRunning() && occurrence.isReady(number)) {
					sum += (long) step.waitingCount() * step.spec().reserved().cpuMillicores();
				}
			}
		}
		return sum;
	}

	/** Finds the earliest place of a task or gang. */
	@FunctionalInterface
	private interface PlaceFinder {

		/**
		 * Finds the place.
		 * @param limitMillis time, in milliseconds from now, after which it is of no use
		 * @return the place, empty if none can be foreseen
		 */
		Optional<NearPlaces.Place> find(long limitMillis);

	}

}
