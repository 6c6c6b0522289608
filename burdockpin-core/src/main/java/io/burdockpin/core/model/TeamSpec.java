package io.burdockpin.core.model;

import io.burdockpin.core.util.Checks;

/**
 * A team with its share and upper limit.
 *
 * @param name the team
 * @param shareWeight its weight when everything is full
 * @param upperLimit how many requests and jobs it may have running at once, fleet-wide
 * @param minimumCapacityMillicores processor capacity that planned stops must leave in
 * service in the pools the team uses
 */
public record TeamSpec(TeamName name, int shareWeight, int upperLimit, int minimumCapacityMillicores) {

	public TeamSpec {
		Checks.range("shareWeight", shareWeight, 1, 1_000_000);
		Checks.range("upperLimit", upperLimit, 0, 1_000_000);
		Checks.range("minimumCapacityMillicores", minimumCapacityMillicores, 0, Integer.MAX_VALUE);
	}

}
