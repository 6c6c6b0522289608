package io.burdockpin.core.batch.lead.pool;

import java.util.OptionalLong;

/**
 * Figures of the latest round of a balancer, for the operator.
 *
 * @param hosts hosts that serve the pools, without those that are being moved
 * @param idleHosts those of them without runs
 * @param movingHosts hosts that are being moved
 * @param expectedHosts hosts that the forecast expects to be required in all pools when a
 * host ordered now arrives, including fractions
 * @param periodMillis recognised period of the demand, in milliseconds; empty if there is
 * none
 */
public record BalanceFigures(int hosts, int idleHosts, int movingHosts, double expectedHosts,
		OptionalLong periodMillis) {

	/** Before the first round. */
	public static final BalanceFigures NONE = new BalanceFigures(0, 0, 0, 0, OptionalLong.empty());

}
