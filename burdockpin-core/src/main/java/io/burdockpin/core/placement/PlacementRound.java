package io.burdockpin.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.TeamRecord;
import io.burdockpin.core.state.TokenRecord;

/**
 * Working state of one placement round: the view with the commands decided so far applied
 * to it. Not thread-safe; valid for one round only.
 */
final class PlacementRound {

	private final FleetView view;

	private final long nowMillis;

	private final PlacementSettings settings;

	private final UsageEstimator estimator;

	private final InterventionTable interventions;

	private final Map<PoolName, PoolLoad> pools = new HashMap<>();

	private final Map<HostName, WorkerLoad> workers = new HashMap<>();

	private final Map<TeamName, TeamLoad> teams = new HashMap<>();

	private final Map<Rack, Integer> rackIndexes = new HashMap<>();

	private final FleetCapacity capacity;

	private final int[][] jobsByTeamAndRack;

	private final List<Command> commands = new ArrayList<>();

	private final List<JobIntervention> newInterventions = new ArrayList<>();

	private long shortestDrainMillis = Long.MAX_VALUE;

	private int remainingPlacements;

	PlacementRound(FleetView view, long nowMillis, PlacementSettings settings, UsageEstimator estimator,
			InterventionTable interventions, WorkerEligibility eligibility) {
		this.view = view;
		this.nowMillis = nowMillis;
		this.settings = settings;
		this.estimator = estimator;
		this.interventions = interventions;
		this.remainingPlacements = settings.maximumPlacementsPerRound();
		this.capacity = FleetCapacity.of(capacitiesInService());
		addHosts(eligibility);
		addTeams();
		this.jobsByTeamAndRack = new int[this.teams.size()][this.rackIndexes.size()];
		addJobs();
		chooseNextDrains();
	}

	// configuration

	/**
	 * Assigns a job to a worker and proposes the placement.
	 * @param job the waiting job
	 * @param demand the expected usage of the job
	 * @param worker the worker that is to run the job
	 * @param team the team that owns the job
	 */
	void place(JobRecord job, Resources demand, WorkerLoad worker, TeamLoad team) {
		assign(job, demand, worker, team, false);
		this.remainingPlacements--;
		this.commands.add(new JobCommand.PlaceJob(job.id(), worker.name(), job.leaseEpoch() + 1));
	}

	void propose(Command command) {
		this.commands.add(command);
	}

	void intervene(JobIntervention intervention) {
		this.interventions.add(intervention);
		this.newInterventions.add(intervention);
	}

	// access

	PlacementDecision toDecision() {
		return new PlacementDecision(this.commands, this.newInterventions);
	}

	FleetView view() {
		return this.view;
	}

	long nowMillis() {
		return this.nowMillis;
	}

	Collection<TeamLoad> teams() {
		return this.teams.values();
	}

	Collection<WorkerLoad> workers() {
		return this.workers.values();
	}

	Optional<TeamLoad> team(TeamName name) {
		return Optional.ofNullable(this.teams.get(name));
	}

	Optional<WorkerLoad> worker(HostName name) {
		return Optional.ofNullable(this.workers.get(name));
	}

	Optional<PoolLoad> pool(PoolName name) {
		return Optional.ofNullable(this.pools.get(name));
	}

	boolean mayPlaceMore() {
		return this.remainingPlacements > 0;
	}

	int jobsOfTeamInRack(TeamLoad team, WorkerLoad worker) {
		return this.jobsByTeamAndRack[team.index()][worker.rackIndex()];
	}

	/**
	 * Returns the expected usage of a waiting job.
	 * @param job the waiting job
	 * @param pool the pool of the job
	 * @return the corrected size, limited to the capacity of an empty worker of the pool
	 */
	Resources demandOf(JobRecord job, PoolLoad pool) {
		return pool.limitToPool(this.estimator.expectedUsage(job.spec()), job.spec().resources());
	}

	/**
	 * Returns whether a job must avoid the hosts that are drained next, because it would
	 * outlast the drain and is not repeatable. Does not apply to urgent jobs, nor to jobs
	 * that have waited longer than the reservation wait.
	 * @param job the waiting job
	 * @return {@code true} if the job would delay the drain of its host until its end
	 */
	boolean blocksDrain(JobRecord job) {
		boolean mayWait = !job.spec().urgent()
				&& this.nowMillis - job.changedMillis() < this.settings.reservationWaitMillis();
		return mayWait && !job.spec().repeatable()
				&& this.estimator.expectedRunMillis(job.spec()) > this.shortestDrainMillis;
	}

	UsageEstimator estimator() {
		return this.estimator;
	}

	InterventionTable interventions() {
		return this.interventions;
	}

	// helpers

	private List<Resources> capacitiesInService() {
		List<Resources> capacities = new ArrayList<>();
		for (HostRecord host : this.view.hosts()) {
			if (host.state().acceptsNewJobs()) {
				capacities.add(host.spec().capacity());
			}
		}
		return capacities;
	}

	private void addHosts(WorkerEligibility eligibility) {
		Set<HostName> awaitingMaintenance = hostsAwaitingMaintenance();
		for (HostRecord host : this.view.hosts()) {
			int rackIndex = this.rackIndexes.computeIfAbsent(host.spec().rack(), (rack) -> this.rackIndexes.size());
			boolean takesJobs = host.state() == HostState.IN_SERVICE
					&& eligibility.isEligible(host.spec().name(), this.nowMillis);
			int maximumJobs = eligibility.maximumJobs(host.spec().name(), this.settings.maximumJobsPerWorker());
			WorkerLoad worker = new WorkerLoad(host.spec(), rackIndex, takesJobs,
					awaitingMaintenance.contains(host.spec().name()), maximumJobs);
			this.workers.put(worker.name(), worker);
			this.pools.computeIfAbsent(host.pool(), PoolLoad::new).add(worker);
		}
	}

	private Set<HostName> hostsAwaitingMaintenance() {
		Set<PoolName> pools = new HashSet<>();
		Set<HostName> done = new HashSet<>();
		for (CampaignRecord campaign : this.view.campaigns()) {
			if (campaign.state().startsDrains()) {
				this.shortestDrainMillis = Math.min(this.shortestDrainMillis, campaign.spec().drainMillis());
				pools.addAll(campaign.spec().pools());
				done.addAll(campaign.hostsDone());
			}
		}
		Set<HostName> awaiting = new HashSet<>();
		for (HostRecord host : this.view.hosts()) {
			if (pools.contains(host.pool()) && !done.contains(host.spec().name())) {
				awaiting.add(host.spec().name());
			}
		}
		return awaiting;
	}

	private void addTeams() {
		for (TeamRecord team : this.view.teams()) {
			this.teams.put(team.spec().name(), new TeamLoad(team.spec(), this.teams.size()));
		}
		for (TokenRecord token : this.view.tokens()) {
			team(token.team()).ifPresent((team) -> team.addTokens(token.ownedCount() + token.leasedCount()));
		}
	}

	private void addJobs() {
		for (JobRecord job : this.view.jobs()) {
			Optional<TeamLoad> team = team(job.spec().team());
			if (team.isEmpty()) {
				continue;
			}
			if (job.state().holdsCapacity()) {
				addPlaced(job, team.get());
			}
			else if (job.state() == JobState.WAITING && !job.cancelRequested()) {
				team.get().enqueue(job);
			}
		}
	}

	/**
	 * Selects in each pool the host that can be drained first, so that no further job
	 * delays its drain.
	 */
	private void chooseNextDrains() {
		for (PoolLoad pool : this.pools.values()) {
			pool.workers()
				.stream()
				.filter((worker) -> worker.awaitsMaintenance() && worker.takesJobs())
				.min(Comparator.comparingLong(this::drainDelayMillis).thenComparing(WorkerLoad::name))
				.ifPresent(WorkerLoad::keepDrainable);
		}
	}

	private long drainDelayMillis(WorkerLoad worker) {
		long longestMillis = 0;
		for (WorkerLoad.PlacedJob placed : worker.jobs()) {
			if (!placed.job().spec().repeatable()) {
				longestMillis = Math.max(longestMillis,
						this.estimator.expectedRemainingMillis(placed.job(), this.nowMillis));
			}
		}
		return Math.max(0, longestMillis - this.shortestDrainMillis);
	}

	private void addPlaced(JobRecord job, TeamLoad team) {
		Resources demand = this.estimator.expectedUsage(job);
		Optional<WorkerLoad> worker = job.worker().flatMap(this::worker);
		if (worker.isPresent()) {
			assign(job, demand, worker.get(), team, this.interventions.isStopping(job));
		}
		else {
			team.addUsage(demand, this.capacity);
		}
	}

	private void assign(JobRecord job, Resources demand, WorkerLoad worker, TeamLoad team, boolean stopping) {
		worker.add(job, demand, stopping);
		team.addUsage(demand, this.capacity);
		this.jobsByTeamAndRack[team.index()][worker.rackIndex()]++;
	}

}
