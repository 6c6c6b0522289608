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
 * Reserves one host of each pool for the job that has waited longest, so that a stream of
 * smaller jobs cannot starve a large one. Not thread-safe; owned by one planner.
 * <p>
 * A pool has at most one reservation. It ends when the job no longer waits. It also
 * expires after the reservation wait, because the jobs on the host may run longer than
 * expected; another host may then be reserved.
 */
final class ReservationTable {

	private final long waitMillis;

	private final Map<PoolName, Reservation> reservations = new HashMap<>();

	ReservationTable(long waitMillis) {
		this.waitMillis = waitMillis;
	}

	// life cycle

	/** Discards all reservations at the start of a new term. */
	void reset() {
		this.reservations.clear();
	}

	/**
	 * Returns the jobs that are due for a reservation: in each pool the job that has
	 * waited longest among the teams below their limits, if it has waited long enough.
	 * Ends the reservations of all other jobs.
	 * @param round the current round, before jobs that are not urgent are placed
	 * @return the jobs, ordered by pool
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
	 * Keeps the reserved host free for a job that does not fit anywhere yet. Reserves the
	 * host that is expected to have enough free capacity first if there is no
	 * reservation.
	 * @param round the current placement round
	 * @param pool the pool of the job
	 * @param job the waiting job
	 * @param demand the expected usage of the job
	 */
	void reserveFor(PlacementRound round, PoolLoad pool, JobRecord job, Resources demand) {
		Optional<WorkerLoad> reserved = Optional.ofNullable(this.reservations.get(pool.name()))
			.filter((known) -> round.nowMillis() - known.sinceMillis() < this.waitMillis)
			.flatMap((known) -> round.worker(known.host()))
			.filter((known) -> canReserve(known, demand));
		Optional<WorkerLoad> worker = reserved.or(() -> reserve(round, pool, job, demand));
		worker.ifPresent((reservable) -> reservable.reserveFor(job.id()));
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
	 * Job of a pool that has waited longest.
	 *
	 * @param team the team that owns the job
	 * @param job the waiting job
	 */
	record HeadJob(TeamLoad team, JobRecord job) {

		private HeadJob earlierOf(HeadJob other) {
			int byWait = Long.compare(this.job.changedMillis(), other.job.changedMillis());
			int order = (byWait != 0) ? byWait : this.job.id().compareTo(other.job.id());
			return (order <= 0) ? this : other;
		}

	}

	/**
	 * Reservation of a host.
	 *
	 * @param job the job that the host is reserved for
	 * @param host the reserved host
	 * @param sinceMillis when the host was reserved
	 */
	private record Reservation(JobId job, HostName host, long sinceMillis) {
	}

}
