package io.burdockpin.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.placement.WorkerLoad.PlacedJob;
import io.burdockpin.core.state.JobRecord;

/**
 * Reserves one host of each pool for the job that has waited longest, so that smaller
 * jobs do not take the room of a large one for ever. Mutable, owned by one planner.
 * <p>
 * A pool has at most one reservation. It ends when the job no longer waits, and after the
 * waiting time at the latest, because the jobs on the host may run longer than expected.
 */
final class ReservationTable {

	private final long waitMillis;

	private final Map<PoolName, Reservation> reservations = new HashMap<>();

	ReservationTable(long waitMillis) {
		this.waitMillis = waitMillis;
	}

	// life cycle

	/** Forgets all reservations, as a new leader does. */
	void reset() {
		this.reservations.clear();
	}

	/**
	 * Finds the jobs that have waited long enough: the longest-waiting one of each pool
	 * whose team may still start jobs. Reservations of other jobs end.
	 * @param round the round, before jobs that are not urgent are placed
	 * @return the jobs with their teams
	 */
	List<HeadJob> headJobs(PlacementRound round) {
		Map<PoolName, HeadJob> longest = new HashMap<>();
		for (TeamLoad team : round.teams()) {
			if (!team.atLimit()) {
				team.queue(false)
					.forEach((job) -> longest.merge(job.spec().pool(), new HeadJob(team, job), HeadJob::earlierOf));
			}
		}
		longest.values().removeIf((head) -> round.nowMillis() - head.job().changedMillis() < this.waitMillis);
		this.reservations.entrySet().removeIf((entry) -> !isFor(entry.getValue(), longest.get(entry.getKey())));
		List<HeadJob> heads = new ArrayList<>(longest.values());
		heads.sort(Comparator.comparing((head) -> head.job().spec().pool()));
		return heads;
	}

	/**
	 * Keeps the reserved host free for a job that fits nowhere yet, and reserves one if
	 * there is none.
	 * @param round the round
	 * @param pool the pool of the job
	 * @param job the job
	 * @param demand what it is expected to use
	 */
	void reserveFor(PlacementRound round, PoolLoad pool, JobRecord job, Resources demand) {
		Optional<WorkerLoad> reserved = Optional.ofNullable(this.reservations.get(pool.name()))
			.filter((known) -> round.nowMillis() - known.sinceMillis() < this.waitMillis)
			.flatMap((known) -> round.worker(known.host()))
			.filter((worker) -> canReserve(worker, demand));
		Optional<WorkerLoad> held = reserved.or(() -> reserve(round, pool, job, demand));
		held.ifPresent((worker) -> worker.reserveFor(job.id()));
	}

	// helpers

	private static boolean isFor(Reservation reservation, HeadJob head) {
		return head != null && head.job().id().equals(reservation.job());
	}

	private Optional<WorkerLoad> reserve(PlacementRound round, PoolLoad pool, JobRecord job, Resources demand) {
		Optional<WorkerLoad> soonest = pool.workers()
			.stream()
			.filter((worker) -> canReserve(worker, demand))
			.min(Comparator.comparingLong((WorkerLoad worker) -> millisUntilFit(round, worker, demand))
				.thenComparing(WorkerLoad::name));
		soonest.ifPresent((worker) -> this.reservations.put(pool.name(),
				new Reservation(job.id(), worker.name(), round.nowMillis())));
		return soonest;
	}

	private static boolean canReserve(WorkerLoad worker, Resources demand) {
		return worker.takesJobs() && !worker.reservedForUrgent() && demand.fitsIn(worker.capacity());
	}

	private static long millisUntilFit(PlacementRound round, WorkerLoad worker, Resources demand) {
		List<PlacedJob> byEnd = new ArrayList<>(worker.jobs());
		byEnd.sort(Comparator.comparingLong((placed) -> remainingMillis(round, placed)));
		Resources freed = Resources.NONE;
		for (PlacedJob placed : byEnd) {
			if (worker.fitsAfterStops(demand, freed)) {
				break;
			}
			if (!placed.stopping()) {
				freed = freed.plus(placed.demand());
			}
			if (worker.fitsAfterStops(demand, freed)) {
				return remainingMillis(round, placed);
			}
		}
		return 0;
	}

	private static long remainingMillis(PlacementRound round, PlacedJob placed) {
		return round.estimator().expectedRemainingMillis(placed.job(), round.nowMillis());
	}

	/**
	 * The job of a pool that has waited longest.
	 *
	 * @param team its team
	 * @param job the job
	 */
	record HeadJob(TeamLoad team, JobRecord job) {

		private HeadJob earlierOf(HeadJob other) {
			int byWait = Long.compare(this.job.changedMillis(), other.job.changedMillis());
			int order = (byWait != 0) ? byWait : this.job.id().compareTo(other.job.id());
			return (order <= 0) ? this : other;
		}

	}

	/**
	 * A reserved host.
	 *
	 * @param job the job that it is kept for
	 * @param host the host
	 * @param sinceMillis when it was reserved
	 */
	private record Reservation(JobId job, HostName host, long sinceMillis) {
	}

}
