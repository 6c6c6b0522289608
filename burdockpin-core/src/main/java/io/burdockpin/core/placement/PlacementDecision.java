package io.burdockpin.core.placement;

import java.util.List;

import io.burdockpin.core.state.Command;

/**
 * Result of a placement round. Immutable.
 *
 * @param commands commands to propose, in order
 * @param interventions orders to workers about running jobs
 */
public record PlacementDecision(List<Command> commands, List<JobIntervention> interventions) {

	public PlacementDecision {
		commands = List.copyOf(commands);
		interventions = List.copyOf(interventions);
	}

}
