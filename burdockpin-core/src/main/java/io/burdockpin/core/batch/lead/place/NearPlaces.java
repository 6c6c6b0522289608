package io.burdockpin.core.batch.lead.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.TreeSet;

import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.model.Resources;

/**
 * Foresees when the racks of a pool have free places. Counts only runners that accept new
 * tasks, are not suspect and have no maintenance ahead, and hosts that are arriving. The
 * outlook of a rack is built when it is first needed, so a round without a task far from
 * its data costs nothing. Not thread-safe; owned by a placement round.
 */
final class NearPlaces {

	private final BatchState state;

	private final RunnerChoice runnerChoice;

	private final ExpectedCapacity expected;

	private final Map<String, Map<String, List<RunnerOutlook>>> byPoolAndRack = new HashMap<>();

	private final Map<RunnerKey, RunnerOutlook> byRunner = new HashMap<>();

	/** Assignments of the round on runners whose outlook is not built yet. */
	private final Map<RunnerKey, List<Planned>> planned = new HashMap<>();

	/**
	 * Earliest times that were found. Reservations only defer them, so a time that is too
	 * late for one task need not be calculated again for the next.
	 */
	private final Map<PlaceSize, Long> earliestMillis = new HashMap<>();

	NearPlaces(BatchState state, RunnerChoice runnerChoice, ExpectedCapacity expected) {
		this.state = state;
		this.runnerChoice = runnerChoice;
		this.expected = expected;
	}

	/**
	 * Notes an assignment of this round, whose capacity the candidate has reserved.
	 * @param runner incarnation of the runner
	 * @param reserved resources of the task
	 * @param durationMillis expected duration of the task there
	 */
	void onAssigned(RunnerKey runner, Resources reserved, long durationMillis) {
		RunnerOutlook outlook = this.byRunner.get(runner);
		if (outlook != null) {
			outlook.addRelease(reserved, durationMillis);
		}
		else {
			this.planned.computeIfAbsent(runner, (key) -> new ArrayList<>()).add(new Planned(reserved, durationMillis));
		}
	}

	/**
	 * Finds the earliest place on a rack.
	 * @param request what the task requires
	 * @param rack name of the rack
	 * @param limitMillis time, in milliseconds from now, after which a place is of no use
	 * @return the place; only a lower bound of its time, without a runner, if it is later
	 * than the limit; empty if none can be foreseen
	 */
	Optional<Place> earliest(PlaceRequest request, String rack, long limitMillis) {
		PlaceSize size = new PlaceSize(request.pool(), rack, request.spec().reserved(), request.spec().requiredLabel(),
				1);
		long boundMillis = this.earliestMillis.getOrDefault(size, 0L);
		if (boundMillis > limitMillis) {
			return tooLate(rack, boundMillis);
		}
		Optional<Place> best = Optional.empty();
		for (RunnerOutlook outlook : outlooks(request.pool()).getOrDefault(rack, List.of())) {
			OptionalLong atMillis = isPossible(request, outlook) ? outlook.earliestMillis(request.spec())
					: OptionalLong.empty();
			if (atMillis.isPresent() && (best.isEmpty() || atMillis.getAsLong() < best.get().atMillis())) {
				best = Optional.of(new Place(atMillis.getAsLong(), rack, List.of(outlook)));
			}
		}
		if (request.spec().maximumPerRunner().isEmpty() && !request.hasFailed()) {
			this.earliestMillis.put(size, best.map(Place::atMillis).orElse(Long.MAX_VALUE));
		}
		return best;
	}

	private static Optional<Place> tooLate(String rack, long boundMillis) {
		return (boundMillis < Long.MAX_VALUE) ? Optional.of(new Place(boundMillis, rack, List.of())) : Optional.empty();
	}

	/**
	 * Finds the rack on which a whole gang fits first.
	 * @param request what each member requires
	 * @param racks the racks to consider
	 * @param count number of members
	 * @param limitMillis time, in milliseconds from now, after which a place is of no use
	 * @return a place with one runner for each member; only a lower bound of its time,
	 * without runners, if it is later than the limit; empty if none can be foreseen
	 */
	Optional<Place> earliestForAll(PlaceRequest request, List<String> racks, int count, long limitMillis) {
		Optional<Place> best = Optional.empty();
		for (String rack : racks) {
			Optional<Place> found = earliestForAll(request, rack, count, limitMillis);
			if (found.isPresent() && (best.isEmpty() || found.get().atMillis() < best.get().atMillis())) {
				best = found;
			}
		}
		return best;
	}

	private Optional<Place> earliestForAll(PlaceRequest request, String rack, int count, long limitMillis) {
		PlaceSize size = new PlaceSize(request.pool(), rack, request.spec().reserved(), request.spec().requiredLabel(),
				count);
		long boundMillis = this.earliestMillis.getOrDefault(size, 0L);
		if (boundMillis > limitMillis) {
			return tooLate(rack, boundMillis);
		}
		List<RunnerOutlook> outlooks = outlooks(request.pool()).getOrDefault(rack, List.of())
			.stream()
			.filter((outlook) -> isPossible(request, outlook))
			.toList();
		OptionalLong atMillis = earliestForAll(request, outlooks, count);
		if (request.spec().maximumPerRunner().isEmpty() && !request.hasFailed()) {
			this.earliestMillis.put(size, atMillis.orElse(Long.MAX_VALUE));
		}
		return atMillis.isPresent()
				? Optional
					.of(new Place(atMillis.getAsLong(), rack, members(request, outlooks, count, atMillis.getAsLong())))
				: Optional.empty();
	}

	/**
	 * Counts the tasks that fit on a rack now.
	 * @param request what each task requires
	 * @param rack name of the rack
	 * @return number of tasks
	 */
	long placesNow(PlaceRequest request, String rack) {
		return outlooks(request.pool()).getOrDefault(rack, List.of())
			.stream()
			.filter((outlook) -> isPossible(request, outlook))
			.mapToLong((outlook) -> places(request, outlook, 0))
			.sum();
	}

	/**
	 * Returns the racks of a pool.
	 * @param pool name of the pool
	 * @return names in alphabetical order
	 */
	List<String> racks(String pool) {
		return List.copyOf(outlooks(pool).keySet());
	}

	/**
	 * Reserves a place for a task or gang that waits, so that the next one expects a
	 * later place.
	 * @param place place to reserve
	 * @param spec step of the task
	 * @param durationMillis expected duration near the data
	 */
	void reserve(Place place, StepSpec spec, long durationMillis) {
		place.runners().forEach((outlook) -> outlook.addReservation(spec.reserved(), place.atMillis(), durationMillis));
	}

	/**
	 * Keeps the present capacity of a runner for a task that waits for more of it, so
	 * that tasks that can run elsewhere do not take it.
	 * @param place place of one task that is reserved
	 * @param spec step of the task
	 */
	void hold(Place place, StepSpec spec) {
		RunnerOutlook outlook = place.runners().get(0);
		outlook.candidate().ifPresent((candidate) -> {
			Resources before = candidate.free();
			candidate.reserve(spec);
			outlook.addRelease(before.minus(candidate.free()), place.atMillis());
		});
	}

	// The number of places only grows with time, so the first time with enough of them is
	// found by bisection.
	private static OptionalLong earliestForAll(PlaceRequest request, List<RunnerOutlook> outlooks, int count) {
		TreeSet<Long> times = new TreeSet<>();
		times.add(0L);
		outlooks.forEach((outlook) -> times.addAll(outlook.changeMillis()));
		List<Long> ascending = List.copyOf(times);
		int low = 0;
		int high = ascending.size();
		while (low < high) {
			int middle = (low + high) / 2;
			long atMillis = ascending.get(middle);
			long places = outlooks.stream().mapToLong((outlook) -> places(request, outlook, atMillis)).sum();
			if (places >= count) {
				high = middle;
			}
			else {
				low = middle + 1;
			}
		}
		return (low < ascending.size()) ? OptionalLong.of(ascending.get(low)) : OptionalLong.empty();
	}

	private static List<RunnerOutlook> members(PlaceRequest request, List<RunnerOutlook> outlooks, int count,
			long atMillis) {
		List<RunnerOutlook> members = new ArrayList<>(count);
		for (RunnerOutlook outlook : outlooks) {
			long places = places(request, outlook, atMillis);
			for (long place = 0; place < places && members.size() < count; place++) {
				members.add(outlook);
			}
		}
		return members;
	}

	private static long places(PlaceRequest request, RunnerOutlook outlook, long atMillis) {
		return Math.min(request.permittedOn(outlook.runner().key()), outlook.placesFrom(request.spec(), atMillis));
	}

	// Nothing waits for a runner that is suspect or due for maintenance.
	private boolean isPossible(PlaceRequest request, RunnerOutlook outlook) {
		boolean isSuitable = outlook.candidate()
			.filter((candidate) -> candidate.reliability() == RunnerReliability.SUSPECT
					|| !candidate.reliability().isSuitable(request.hasFailed())
					|| this.runnerChoice.isMaintenanceDue(candidate))
			.isEmpty();
		boolean hasLabel = request.spec()
			.requiredLabel()
			.filter((label) -> !outlook.runner().labels().contains(label))
			.isEmpty();
		return isSuitable && hasLabel && request.permittedOn(outlook.runner().key()) > 0;
	}

	private Map<String, List<RunnerOutlook>> outlooks(String pool) {
		return this.byPoolAndRack.computeIfAbsent(pool, this::foresee);
	}

	private Map<String, List<RunnerOutlook>> foresee(String pool) {
		Map<String, List<RunnerOutlook>> byRack = new TreeMap<>();
		for (Candidate candidate : this.runnerChoice.candidates(pool)) {
			candidate.runner()
				.rack()
				.ifPresent((rack) -> byRack.computeIfAbsent(rack, (name) -> new ArrayList<>()).add(foresee(candidate)));
		}
		for (ExpectedCapacity.Arrival arrival : this.expected.arrivals()) {
			if (arrival.pool().equals(pool) && arrival.runner().rack().isPresent()) {
				RunnerOutlook outlook = new RunnerOutlook(arrival.runner(), Optional.empty());
				outlook.addRelease(arrival.runner().capacity(), arrival.remainingMillis());
				byRack.computeIfAbsent(arrival.runner().rack().get(), (name) -> new ArrayList<>()).add(outlook);
			}
		}
		return byRack;
	}

	private RunnerOutlook foresee(Candidate candidate) {
		RunnerKey key = candidate.runner().key();
		RunnerOutlook outlook = new RunnerOutlook(candidate.runner(), Optional.of(candidate));
		for (Run run : this.state.runs().on(key)) {
			this.expected.remainingMillis(run)
				.ifPresent((remainingMillis) -> outlook.addRelease(run.reserved(), remainingMillis));
		}
		this.planned.getOrDefault(key, List.of())
			.forEach((assigned) -> outlook.addRelease(assigned.reserved(), assigned.durationMillis()));
		this.planned.remove(key);
		this.byRunner.put(key, outlook);
		return outlook;
	}

	/**
	 * Place for a task or for all members of a gang.
	 *
	 * @param atMillis time from which it is free, in milliseconds from now
	 * @param rack name of the rack
	 * @param runners one runner for each task
	 */
	record Place(long atMillis, String rack, List<RunnerOutlook> runners) {

	}

	private record Planned(Resources reserved, long durationMillis) {

	}

	/** What determines when tasks fit on a rack, except for the sibling tasks. */
	private record PlaceSize(String pool, String rack, Resources reserved, Optional<String> label, int count) {

	}

}
