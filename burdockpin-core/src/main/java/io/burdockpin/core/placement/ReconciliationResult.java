package io.burdockpin.core.placement;

import java.util.List;

import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.state.Command;

/**
 * Result of reconciling a worker's report with the replicated records. Immutable.
 *
 * @param commands commands to propose, in order
 * @param order the reply to the worker
 */
public record ReconciliationResult(List<Command> commands, WorkerOrder order) {

	public ReconciliationResult {
		commands = List.copyOf(commands);
	}

}
