package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * Share and limits of a team.
 *
 * @param name name of the team
 * @param shareWeight weight in the division of capacity when demand exceeds it
 * @param upperLimit maximum number of requests and jobs running at once, over the whole
 * fleet
 * @param minimumCapacityMillicores processor capacity that planned stops must leave in
 * service in the pools of the team's jobs; 0 means no minimum
 */
public record TeamSpec(TeamName name, int shareWeight, int upperLimit, int minimumCapacityMillicores) {

	public TeamSpec {
		Checks.range("shareWeight", shareWeight, 1, 1_000_000);
		Checks.range("upperLimit", upperLimit, 0, 1_000_000);
		Checks.range("minimumCapacityMillicores", minimumCapacityMillicores, 0, Integer.MAX_VALUE);
	}

}
