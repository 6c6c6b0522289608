package io.burdockpin.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.placement.WorkerLoad.PlacedJob;
import io.burdockpin.core.state.JobRecord;

/**
 * Makes room for an urgent job that fits nowhere: stops repeatable jobs with a
 * checkpoint, else keeps a worker free for it. Has no state.
 * <p>
 * The urgent job is placed at once. Its worker gets the stop and the start in one answer
 * and carries them out in this order, which saves two report periods.
 */
final class UrgentPreemption {

	/**
	 * Finds the worker where the fewest and shortest-run jobs have to stop, and stops
	 * them.
	 * @param round the round
	 * @param pool the pool of the job
	 * @param demand what the job is expected to use
	 * @return the worker that has room now, or nothing
	 */
	Optional<WorkerLoad> preempt(PlacementRound round, PoolLoad pool, Resources demand) {
		Optional<Eviction> cheapest = Optional.empty();
		for (WorkerLoad worker : pool.workers()) {
			Optional<Eviction> eviction = worker.takesJobs() ? evictionFor(worker, demand, round) : Optional.empty();
			if (eviction.isPresent() && isCheaper(eviction.get(), cheapest)) {
				cheapest = eviction;
			}
		}
		cheapest.ifPresent((eviction) -> execute(eviction, round));
		return cheapest.map(Eviction::worker);
	}

	/**
	 * Keeps the worker with the most room to come free of work that is not urgent.
	 * @param pool the pool of the job
	 * @param demand what the job is expected to use
	 */
	void reserve(PoolLoad pool, Resources demand) {
		pool.workers()
			.stream()
			.filter(WorkerLoad::takesJobs)
			.filter((worker) -> !worker.reservedForUrgent() && demand.fitsIn(worker.capacity()))
			.max(Comparator.comparingDouble((worker) -> worker.freeFractionAfter(demand)))
			.ifPresent(WorkerLoad::reserveForUrgent);
	}

	// helpers

	private Optional<Eviction> evictionFor(WorkerLoad worker, Resources demand, PlacementRound round) {
		List<PlacedJob> candidates = new ArrayList<>();
		for (PlacedJob placed : worker.jobs()) {
			if (mayStop(placed)) {
				candidates.add(placed);
			}
		}
		candidates.sort(Comparator.comparingLong((placed) -> elapsedMillis(placed.job(), round.nowMillis())));
		List<PlacedJob> victims = new ArrayList<>();
		Resources freed = Resources.NONE;
		long lostMillis = 0;
		for (PlacedJob candidate : candidates) {
			if (worker.fitsAfterStops(demand, freed)) {
				break;
			}
			victims.add(candidate);
			freed = freed.plus(candidate.demand());
			lostMillis += elapsedMillis(candidate.job(), round.nowMillis());
		}
		return worker.fitsAfterStops(demand, freed) ? Optional.of(new Eviction(worker, victims, lostMillis))
				: Optional.empty();
	}

	private boolean mayStop(PlacedJob placed) {
		JobRecord job = placed.job();
		return !placed.stopping() && job.spec().repeatable() && !job.spec().urgent() && job.state() == JobState.RUNNING;
	}

	private long elapsedMillis(JobRecord job, long nowMillis) {
		return Math.max(0, nowMillis - job.changedMillis());
	}

	private boolean isCheaper(Eviction eviction, Optional<Eviction> other) {
		return other.filter((known) -> known.compareTo(eviction) <= 0).isEmpty();
	}

	private void execute(Eviction eviction, PlacementRound round) {
		for (PlacedJob victim : eviction.victims()) {
			JobRecord job = victim.job();
			round.intervene(new JobIntervention(eviction.worker().name(), job.id(), job.leaseEpoch(), JobOrderKind.STOP,
					0, "makes room for urgent work"));
		}
		eviction.worker().markStopping(eviction.victims());
	}

	/**
	 * Jobs whose stop would make room on a worker.
	 *
	 * @param worker the worker
	 * @param victims the jobs
	 * @param lostMillis how long they have run
	 */
	private record Eviction(WorkerLoad worker, List<PlacedJob> victims,
			long lostMillis) implements Comparable<Eviction> {

		@Override
		public int compareTo(Eviction other) {
			int byCount = Integer.compare(this.victims.size(), other.victims.size());
			return (byCount != 0) ? byCount : Long.compare(this.lostMillis, other.lostMillis);
		}

	}

}
