package io.burdockpin.core.maintenance;

import java.util.List;

import io.burdockpin.core.state.Command;

/**
 * Result of a maintenance round. Immutable.
 *
 * @param commands commands to propose, in order
 * @param drainNotices one notice for each drain that the commands start
 */
public record MaintenanceDecision(List<Command> commands, List<DrainNotice> drainNotices) {

	public MaintenanceDecision {
		commands = List.copyOf(commands);
		drainNotices = List.copyOf(drainNotices);
	}

}
