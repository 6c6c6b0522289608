package io.burdockpin.core.batch.lead.pool;

/**
 * Demand of a pool that the forecast expects, in hosts.
 *
 * @param arrivalHosts hosts required when a host ordered now arrives
 * @param soonHosts hosts required at any time until then
 * @param mostHosts hosts that the pool grows to at most, for the demand that it has now;
 * infinite if the forecast does not know
 */
record ExpectedDemand(double arrivalHosts, double soonHosts, double mostHosts) {

	/** Without a forecast, only the demand of the moment counts. */
	static final ExpectedDemand UNKNOWN = new ExpectedDemand(0, 0, Double.POSITIVE_INFINITY);

}
