package io.burdockpin.core.state;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.TeamName;

/**
 * Enforces the upper limit of a team over the tokens of all holders, including blocked
 * ones, and the jobs that hold capacity. Reads the tables of the state machine.
 */
final class LimitCheck {

	private final FleetTables tables;

	LimitCheck(FleetTables tables) {
		this.tables = tables;
	}

	void check(TeamName team, int additionalCount) {
		int limit = this.tables.teams.require(team).spec().upperLimit();
		int usedCount = this.tables.tokens.totalOf(team) + this.tables.jobs.activeCountOf(team);
		CommandRejectedException.rejectIf(additionalCount > limit - usedCount, ErrorCode.TEAM_LIMIT_REACHED,
				"team %s has %d of %d in use, %d more do not fit", team, usedCount, limit, additionalCount);
	}

}
