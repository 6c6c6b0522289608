package io.burdockpin.core.placement;

import java.util.List;

import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.state.Command;

/**
 * The reaction to a worker's report. Immutable.
 *
 * @param commands changes to propose, in this order
 * @param order what the worker is told
 */
public record ReconciliationResult(List<Command> commands, WorkerOrder order) {

	public ReconciliationResult {
		commands = List.copyOf(commands);
	}

}
