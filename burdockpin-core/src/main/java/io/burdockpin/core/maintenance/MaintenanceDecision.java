package io.burdockpin.core.maintenance;

import java.util.List;

import io.burdockpin.core.state.Command;

/**
 * What a maintenance round decided. Immutable.
 *
 * @param commands changes to propose, in this order
 * @param drainNotices one for each drain that the commands start
 */
public record MaintenanceDecision(List<Command> commands, List<DrainNotice> drainNotices) {

	public MaintenanceDecision {
		commands = List.copyOf(commands);
		drainNotices = List.copyOf(drainNotices);
	}

}
