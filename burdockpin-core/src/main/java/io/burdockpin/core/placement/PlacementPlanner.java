package io.burdockpin.core.placement;

import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.LongStream;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.DrainRecord;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;

/**
 * Assigns waiting jobs to workers in rounds. Not thread-safe; owned by one actor.
 * <p>
 * Urgent jobs are placed first. The others are placed by weighted dominant resource
 * fairness: next is a job of the team with the lowest dominant share divided by its
 * weight. A job that does not fit does not block others, except on the one host of its
 * pool that is reserved for it after it has waited long enough.
 */
public final class PlacementPlanner {

	private static final Comparator<TeamLoad> NEXT_TEAM = Comparator.comparingDouble(TeamLoad::weightedShare)
		.thenComparingInt(TeamLoad::index);

	/**
	 * Larger than any score, so that a job returns to a worker on which it has failed
	 * only if all others are full.
	 */
	private static final double PREVIOUS_FAILURE_PENALTY = 100;

	private final PlacementSettings settings;

	private final PlacementTables tables;

	private final PlacementScore score;

	private final ParkingCheck parkingCheck = new ParkingCheck();

	private final UrgentPreemption preemption = new UrgentPreemption();

	private final ReservationTable reservations;

	private final OverloadControl overloadControl;

	private final DrainControl drainControl;

	/**
	 * Creates a planner.
	 * @param settings limits, preference and periods
	 * @param tables the state collected from reports, shared with the reconciler of the
	 * same owner
	 */
	public PlacementPlanner(PlacementSettings settings, PlacementTables tables) {
		this.settings = settings;
		this.tables = tables;
		this.score = new PlacementScore(settings.preference());
		this.reservations = new ReservationTable(settings.reservationWaitMillis());
		this.overloadControl = new OverloadControl(tables.workers(), tables.estimator());
		this.drainControl = new DrainControl(tables.estimator());
	}

	// life cycle

	/** Discards the state collected from reports at the start of a new term. */
	public void reset() {
		this.tables.reset();
		this.overloadControl.reset();
		this.reservations.reset();
	}

	/**
	 * Runs one placement round.
	 * @param view the current records
	 * @param jobs the index of the jobs of the view
	 * @param nowMillis the time of the round
	 * @return the commands to propose and the orders about running jobs
	 */
	public PlacementDecision plan(FleetView view, JobIndex jobs, long nowMillis) {
		this.tables.observe(view, jobs, nowMillis);
		PlacementRound round = new PlacementRound(view, nowMillis, this.settings, this.tables.estimator(),
				this.tables.interventions(), this.tables.eligibility());
		interruptExpired(round);
		this.tables.hostStateMonitor().stateChanges(view.hosts(), hostsOut(view), nowMillis).forEach(round::propose);
		this.drainControl.apply(round);
		this.overloadControl.apply(round);
		this.parkingCheck.apply(round);
		placeUrgent(round);
		placeOrReserve(round);
		placeByFairShare(round);
		return round.toDecision();
	}

	/**
	 * Returns the next time at which a decision is due without a change of the records: a
	 * lease expires, a host becomes silent or a drain reaches its deadline.
	 * @param view the records of the last round
	 * @param nowMillis the time of the last round
	 * @return the earliest time after it, or {@link Long#MAX_VALUE} if there is none
	 */
	public long nextDueMillis(FleetView view, long nowMillis) {
		LongStream leaseExpiries = view.jobs()
			.stream()
			.filter((job) -> job.state().holdsCapacity())
			.mapToLong(this.tables.leases()::expiryMillis);
		LongStream silenceDeadlines = view.hosts()
			.stream()
			.mapToLong((host) -> this.tables.hostStateMonitor().silenceDeadlineMillis(host.spec().name()));
		LongStream drainDeadlines = view.campaigns()
			.stream()
			.flatMap((campaign) -> campaign.hostsOut().stream())
			.mapToLong(DrainRecord::drainDeadlineMillis);
		return LongStream.concat(leaseExpiries, LongStream.concat(silenceDeadlines, drainDeadlines))
			.filter((dueMillis) -> dueMillis > nowMillis)
			.min()
			.orElse(Long.MAX_VALUE);
	}

	// helpers

	private static Set<HostName> hostsOut(FleetView view) {
		Set<HostName> hosts = new HashSet<>();
		view.campaigns().forEach((campaign) -> campaign.hostsOut().forEach((drain) -> hosts.add(drain.host())));
		return hosts;
	}

	private void interruptExpired(PlacementRound round) {
		for (JobRecord job : round.view().jobs()) {
			if (job.state().holdsCapacity() && this.tables.leases().hasExpired(job, round.nowMillis())) {
				round.propose(new JobCommand.InterruptJob(job.id(), job.leaseEpoch(), false, job.checkpoint()));
			}
		}
	}

	private void placeUrgent(PlacementRound round) {
		for (TeamLoad team : round.teams()) {
			Deque<JobRecord> urgent = team.queue(true);
			while (!urgent.isEmpty()) {
				JobRecord job = urgent.poll();
				if (!tryPlace(round, team, job)) {
					preemptFor(round, team, job);
				}
			}
		}
	}

	private void preemptFor(PlacementRound round, TeamLoad team, JobRecord job) {
		Optional<PoolLoad> pool = round.pool(job.spec().pool());
		if (pool.isEmpty() || team.atLimit() || !round.mayPlaceMore()) {
			return;
		}
		Resources demand = round.demandOf(job, pool.get());
		Optional<WorkerLoad> worker = this.preemption.preempt(round, pool.get(), demand);
		if (worker.isPresent()) {
			placeOn(round, team, job, demand, worker.get());
		}
		else {
			this.preemption.reserve(pool.get(), demand);
		}
	}

	private void placeOrReserve(PlacementRound round) {
		for (ReservationTable.HeadJob head : this.reservations.headJobs(round)) {
			JobRecord job = head.job();
			Optional<PoolLoad> pool = round.pool(job.spec().pool());
			if (pool.isEmpty() || head.team().atLimit() || !round.mayPlaceMore()) {
				continue;
			}
			Resources demand = round.demandOf(job, pool.get());
			Optional<WorkerLoad> worker = bestWorker(round, head.team(), job, demand, pool.get());
			if (worker.isPresent()) {
				head.team().queue(false).remove(job);
				placeOn(round, head.team(), job, demand, worker.get());
			}
			else {
				this.reservations.reserveFor(round, pool.get(), job, demand);
			}
		}
	}

	private void placeByFairShare(PlacementRound round) {
		PriorityQueue<TeamLoad> teams = new PriorityQueue<>(NEXT_TEAM);
		for (TeamLoad team : round.teams()) {
			teams.add(team);
		}
		while (!teams.isEmpty() && round.mayPlaceMore()) {
			TeamLoad team = teams.poll();
			if (placeNext(round, team)) {
				teams.add(team);
			}
		}
	}

	private boolean placeNext(PlacementRound round, TeamLoad team) {
		Deque<JobRecord> waiting = team.queue(false);
		while (!waiting.isEmpty() && !team.atLimit()) {
			if (tryPlace(round, team, waiting.poll())) {
				return true;
			}
		}
		return false;
	}

	private boolean tryPlace(PlacementRound round, TeamLoad team, JobRecord job) {
		Optional<PoolLoad> pool = round.pool(job.spec().pool());
		if (pool.isEmpty() || team.atLimit() || !round.mayPlaceMore()) {
			return false;
		}
		Resources demand = round.demandOf(job, pool.get());
		if (pool.get().isUnplaceable(demand)) {
			return false;
		}
		Optional<WorkerLoad> worker = bestWorker(round, team, job, demand, pool.get());
		if (worker.isEmpty()) {
			// If the job only has to avoid hosts that are drained next, other jobs with
			// the same demand may still fit.
			if (!round.blocksDrain(job)) {
				pool.get().recordUnplaceable(demand);
			}
			return false;
		}
		placeOn(round, team, job, demand, worker.get());
		return true;
	}

	private void placeOn(PlacementRound round, TeamLoad team, JobRecord job, Resources demand, WorkerLoad worker) {
		round.place(job, demand, worker, team);
		this.tables.recordPlacement(job.id(), job.leaseEpoch() + 1);
	}

	private Optional<WorkerLoad> bestWorker(PlacementRound round, TeamLoad team, JobRecord job, Resources demand,
			PoolLoad pool) {
		boolean blocksDrain = round.blocksDrain(job);
		WorkerLoad best = null;
		double lowestPenalty = Double.POSITIVE_INFINITY;
		for (WorkerLoad worker : pool.workers()) {
			boolean blocked = blocksDrain && worker.keptDrainable();
			if (!blocked && worker.accepts(job) && worker.fits(demand)) {
				double penalty = this.score.penalty(round, job, demand, team, worker) + failurePenalty(job, worker);
				if (penalty < lowestPenalty) {
					lowestPenalty = penalty;
					best = worker;
				}
			}
		}
		return Optional.ofNullable(best);
	}

	private double failurePenalty(JobRecord job, WorkerLoad worker) {
		return this.tables.health().hasFailedOn(job.id(), worker.name()) ? PREVIOUS_FAILURE_PENALTY : 0;
	}

}
