package io.burdockpin.core.state;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.TeamName;

/**
 * Checks a planned stop of a host against the budget of its pool and against the capacity
 * that teams need. Reads the tables of the state machine.
 */
final class DrainCheck {

	private final FleetTables tables;

	DrainCheck(FleetTables tables) {
		this.tables = tables;
	}

	void check(HostRecord host) {
		PoolRecord pool = this.tables.pools.require(host.pool());
		List<HostRecord> hosts = this.tables.hosts.stream()
			.filter((other) -> other.pool().equals(host.pool()))
			.toList();
		new PoolAvailability(pool.budget(), hosts).refusalToDrain(host).ifPresent((reason) -> {
			throw new CommandRejectedException(ErrorCode.BUDGET_EXCEEDED, "pool %s: %s".formatted(pool.name(), reason));
		});
		if (host.state().countsAsAvailable()) {
			this.tables.teams.stream().forEach((team) -> checkTeam(team, host));
		}
	}

	private void checkTeam(TeamRecord team, HostRecord host) {
		int neededMillicores = team.spec().minimumCapacityMillicores();
		if (neededMillicores == 0) {
			return;
		}
		Set<PoolName> pools = poolsUsedBy(team.name());
		if (!pools.contains(host.pool())) {
			return;
		}
		long leftMillicores = inServiceMillicores(pools) - host.spec().capacity().cpuMillicores();
		CommandRejectedException.rejectIf(leftMillicores < neededMillicores, ErrorCode.BUDGET_EXCEEDED,
				"team %s would have %d millicores in service, needed are %d", team.name(), leftMillicores,
				neededMillicores);
	}

	private Set<PoolName> poolsUsedBy(TeamName team) {
		return this.tables.jobs.notEnded()
			.filter((job) -> job.spec().team().equals(team))
			.map((job) -> job.spec().pool())
			.collect(Collectors.toSet());
	}

	private long inServiceMillicores(Set<PoolName> pools) {
		return this.tables.hosts.stream()
			.filter((host) -> pools.contains(host.pool()) && host.state().countsAsAvailable())
			.mapToLong((host) -> host.spec().capacity().cpuMillicores())
			.sum();
	}

}
