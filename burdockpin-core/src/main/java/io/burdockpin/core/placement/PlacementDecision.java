package io.burdockpin.core.placement;

import java.util.List;

import io.burdockpin.core.state.Command;

/**
 * What a placement round decided. Immutable.
 *
 * @param commands changes to propose, in this order
 * @param interventions what workers are to do with running jobs
 */
public record PlacementDecision(List<Command> commands, List<JobIntervention> interventions) {

	public PlacementDecision {
		commands = List.copyOf(commands);
		interventions = List.copyOf(interventions);
	}

}
