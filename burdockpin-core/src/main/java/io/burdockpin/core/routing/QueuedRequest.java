package io.burdockpin.core.routing;

import java.util.Optional;

import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.util.Checks;

/**
 * A request that waits for a slot.
 *
 * @param number identifies the request in this process
 * @param team the team, none on an open queue
 * @param weight the share of the team
 * @param deadlineMillis when it is refused, in milliseconds since the epoch
 */
public record QueuedRequest(long number, Optional<TeamName> team, int weight, long deadlineMillis) {

	public QueuedRequest {
		Checks.range("weight", weight, 1, Integer.MAX_VALUE);
	}

}
