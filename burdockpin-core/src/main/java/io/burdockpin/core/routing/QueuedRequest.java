package io.burdockpin.core.routing;

import java.util.Optional;

import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.util.Checks;

/**
 * A request that waits for a slot.
 *
 * @param number number of the request, unique in this process
 * @param team the team, empty for a request without a key
 * @param weight weight of the team in the queue
 * @param deadlineMillis when the request is refused, in milliseconds since the epoch
 */
public record QueuedRequest(long number, Optional<TeamName> team, int weight, long deadlineMillis) {

	public QueuedRequest {
		Checks.range("weight", weight, 1, Integer.MAX_VALUE);
	}

}
