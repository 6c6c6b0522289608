package io.burdockpin.core.state;

import java.util.List;

import io.burdockpin.core.exc.ErrorCode;

/**
 * Rejects planned stops that would violate an availability budget. Reads the tables of
 * the state machine.
 */
final class DrainCheck {

	private final FleetTables tables;

	DrainCheck(FleetTables tables) {
		this.tables = tables;
	}

	void check(HostRecord host) {
		// Jobs matter only for the minimum capacity of a team. Skip them otherwise: ended
		// jobs are kept for a day, so the scan is slow in a large fleet.
		boolean jobsMatter = this.tables.teams.stream().anyMatch((team) -> team.spec().minimumCapacityMillicores() > 0);
		List<JobRecord> jobs = jobsMatter ? this.tables.jobs.notEnded().toList() : List.of();
		AvailabilityCheck check = new AvailabilityCheck(this.tables.pools.list(), this.tables.hosts.list(),
				this.tables.teams.list(), jobs);
		check.findViolation(host.name()).ifPresent((reason) -> {
			throw new CommandRejectedException(ErrorCode.BUDGET_EXCEEDED, reason);
		});
	}

}
