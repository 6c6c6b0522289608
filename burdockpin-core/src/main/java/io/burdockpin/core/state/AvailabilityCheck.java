package io.burdockpin.core.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;

/**
 * Checks planned stops of hosts against the availability budgets of pools, racks and
 * teams. The planner runs the check before it proposes a stop, and the state machine runs
 * it again when it applies the command. Mutable and owned by its creator; recorded stops
 * count in later checks.
 */
public final class AvailabilityCheck {

	private final Map<PoolName, PoolAvailability> pools = new HashMap<>();

	private final Map<HostName, HostRecord> hosts = new HashMap<>();

	private final Map<PoolName, List<TeamSpec>> teamsByPool = new HashMap<>();

	private final Map<TeamName, Set<PoolName>> poolsByTeam = new HashMap<>();

	/**
	 * Processor capacity in service in the pools of each team, reduced by recorded stops.
	 */
	private final Map<TeamName, Long> millicoresByTeam = new HashMap<>();

	/**
	 * Creates a check of the current records.
	 * @param pools all pools
	 * @param hosts all hosts
	 * @param teams all teams
	 * @param jobs all jobs; a team uses the pools of its jobs that have not ended
	 */
	public AvailabilityCheck(Iterable<PoolRecord> pools, Iterable<HostRecord> hosts, Iterable<TeamRecord> teams,
			Iterable<JobRecord> jobs) {
		for (PoolRecord pool : pools) {
			this.pools.put(pool.name(), new PoolAvailability(pool.name(), pool.budget()));
		}
		for (HostRecord host : hosts) {
			addHost(host);
		}
		addTeams(teams, jobs);
	}

	// configuration

	/**
	 * Records a planned stop, so that later checks count the host as out of service.
	 * @param host a host that is in service
	 */
	public void recordStop(HostName host) {
		find(host).ifPresent((record) -> {
			poolOf(record).ifPresent((pool) -> pool.stop(record.spec()));
			for (TeamSpec team : this.teamsByPool.getOrDefault(record.pool(), List.of())) {
				this.millicoresByTeam.merge(team.name(), -(long) millicores(record.spec()), Long::sum);
			}
			this.hosts.remove(host);
		});
	}

	// access

	/**
	 * Checks the planned stop of a host against all budgets.
	 * @param host name of the host
	 * @return the budget that the stop would violate, in words, or empty if the stop is
	 * allowed
	 */
	public Optional<String> findViolation(HostName host) {
		Optional<HostRecord> record = find(host);
		if (record.isEmpty() || poolOf(record.get()).isEmpty()) {
			return Optional.of("host %s is unknown or already out".formatted(host));
		}
		if (!record.get().state().countsAsAvailable()) {
			// A host that is out of service already counts in every budget.
			return Optional.empty();
		}
		PoolAvailability pool = poolOf(record.get()).get();
		for (BudgetRule rule : BudgetRule.values()) {
			Optional<String> reason = rule.findViolation(record.get().spec(), pool);
			if (reason.isPresent()) {
				return reason;
			}
		}
		return findTeamViolation(record.get());
	}

	/**
	 * Returns whether the rack of a host already has a host of the same pool out of
	 * service, so that stopping another one affects no further failure domain.
	 * @param host a host of any state
	 * @return {@code true} if its rack already counts as out of service
	 */
	public boolean isRackOut(HostRecord host) {
		return poolOf(host).filter((pool) -> pool.isRackOut(RackKey.of(host.spec()))).isPresent();
	}

	// helpers

	private void addHost(HostRecord host) {
		this.hosts.put(host.spec().name(), host);
		// A host that has never reported does not count in the size of its pool, so its
		// absence does not use up the budget.
		if (host.state().countsInPool()) {
			poolOf(host).ifPresent((pool) -> pool.add(host.spec(), host.state().countsAsAvailable()));
		}
	}

	private void addTeams(Iterable<TeamRecord> teams, Iterable<JobRecord> jobs) {
		Map<TeamName, TeamSpec> withMinimum = new HashMap<>();
		for (TeamRecord team : teams) {
			if (team.spec().minimumCapacityMillicores() > 0) {
				withMinimum.put(team.spec().name(), team.spec());
			}
		}
		for (JobRecord job : jobs) {
			TeamSpec team = withMinimum.get(job.spec().team());
			if (team != null && !job.state().ended()) {
				addPoolOfTeam(team, job.spec().pool());
			}
		}
	}

	private void addPoolOfTeam(TeamSpec team, PoolName pool) {
		if (this.poolsByTeam.computeIfAbsent(team.name(), (name) -> new HashSet<>()).add(pool)) {
			this.teamsByPool.computeIfAbsent(pool, (name) -> new ArrayList<>()).add(team);
			PoolAvailability availability = this.pools.get(pool);
			long added = (availability != null) ? availability.inServiceMillicores() : 0;
			this.millicoresByTeam.merge(team.name(), added, Long::sum);
		}
	}

	private Optional<String> findTeamViolation(HostRecord host) {
		for (TeamSpec team : this.teamsByPool.getOrDefault(host.pool(), List.of())) {
			long left = this.millicoresByTeam.get(team.name()) - millicores(host.spec());
			if (left < team.minimumCapacityMillicores()) {
				return Optional.of("team %s would have %d millicores in service, %d are required".formatted(team.name(),
						left, team.minimumCapacityMillicores()));
			}
		}
		return Optional.empty();
	}

	private Optional<HostRecord> find(HostName host) {
		return Optional.ofNullable(this.hosts.get(host));
	}

	private Optional<PoolAvailability> poolOf(HostRecord host) {
		return Optional.ofNullable(this.pools.get(host.pool()));
	}

	private static int millicores(HostSpec host) {
		return host.capacity().cpuMillicores();
	}

}
