package io.burdockpin.core.batch.lead;

import java.util.List;
import java.util.Set;

import io.burdockpin.core.batch.state.BatchCommand;

/**
 * Result of one round of placement. Immutable.
 *
 * @param assignments the tasks that found a runner
 * @param poolsLackingCapacity pools in which a task that is not late found no runner with
 * room, though the sum of what is free may suffice
 */
public record Plan(List<BatchCommand.Assignment> assignments, Set<String> poolsLackingCapacity) {

	/** Nothing to place. */
	static final Plan EMPTY = new Plan(List.of(), Set.of());

	public Plan {
		assignments = List.copyOf(assignments);
		poolsLackingCapacity = Set.copyOf(poolsLackingCapacity);
	}

}
