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
 * Frees capacity for an urgent job that does not fit anywhere. Stops repeatable jobs with
 * a checkpoint or, if this is not enough, reserves a worker. Stateless.
 * <p>
 * The urgent job is placed at once: its worker receives the stop orders and the start
 * order in the same reply and executes them in this order, which saves two report
 * periods.
 */
final class UrgentPreemption {

	/**
	 * Stops jobs on the worker where the fewest jobs have to stop and, among equals, the
	 * least run time is lost.
	 * @param round the current placement round
	 * @param pool the pool of the urgent job
	 * @param demand the expected usage of the urgent job
	 * @return the worker on which the job fits now, or empty if stopping jobs frees
	 * enough capacity on none
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
	 * Reserves the worker with the largest free fraction for urgent jobs for the rest of
	 * the round.
	 * @param pool the pool of the urgent job
	 * @param demand the expected usage of the urgent job
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
					0, "preempted by an urgent job"));
		}
		eviction.worker().markStopping(eviction.victims());
	}

	/**
	 * Jobs to stop on a worker.
	 *
	 * @param worker the worker that runs the jobs
	 * @param victims the jobs to stop
	 * @param lostMillis total time that the jobs have run
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
