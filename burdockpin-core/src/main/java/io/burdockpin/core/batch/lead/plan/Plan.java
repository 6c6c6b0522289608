package io.burdockpin.core.batch.lead.plan;

import java.util.Collections;
import java.util.List;
import java.util.Set;

import io.burdockpin.core.batch.lead.place.Candidate;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.state.BatchCommand;

/**
 * Result of a placement round. Immutable.
 *
 * @param assignments tasks that were assigned to a runner
 * @param poolsLackingCapacity pools in which no single runner had enough free capacity
 * for a task that is not late, even if their total free capacity suffices
 * @param runnersForRestarts runners with capacity for the long-running tasks that
 * maintenance stops next
 * @param candidates runners that were considered, with the capacity that the plan has
 * left free
 * @param order figures of the order in which waiting jobs were placed
 * @param waitingSteps number of steps with waiting tasks that were ready
 */
public record Plan(List<BatchCommand.Assignment> assignments, Set<String> poolsLackingCapacity,
		Set<RunnerKey> runnersForRestarts, List<Candidate> candidates, OrderFigures order, int waitingSteps) {

	/** Assigns nothing. */
	public static final Plan EMPTY = new Plan(List.of(), Set.of(), Set.of(), List.of(), OrderFigures.NONE, 0);

	public Plan {
		assignments = List.copyOf(assignments);
		poolsLackingCapacity = Set.copyOf(poolsLackingCapacity);
		runnersForRestarts = Set.copyOf(runnersForRestarts);
		candidates = Collections.unmodifiableList(candidates);
	}

	/**
	 * Creates a result without figures of the order.
	 * @param assignments tasks that were assigned to a runner
	 * @param poolsLackingCapacity pools without enough free capacity on a single runner
	 * @param runnersForRestarts runners with capacity for tasks that maintenance stops
	 * @param candidates runners that were considered
	 */
	public Plan(List<BatchCommand.Assignment> assignments, Set<String> poolsLackingCapacity,
			Set<RunnerKey> runnersForRestarts, List<Candidate> candidates) {
		this(assignments, poolsLackingCapacity, runnersForRestarts, candidates, OrderFigures.NONE, 0);
	}

}
