package io.burdockpin.core.routing;

/**
 * Round trips between entry hosts.
 *
 * @param ownDataCentreMillis within a data centre
 * @param otherDataCentreMillis to another data centre
 */
public record ForwardingCosts(long ownDataCentreMillis, long otherDataCentreMillis) {

	/**
	 * Returns the round trip to an entry host.
	 * @param ownDataCentre whether it stands in the own data centre
	 * @return the time in milliseconds
	 */
	public long roundTripMillis(boolean ownDataCentre) {
		return ownDataCentre ? this.ownDataCentreMillis : this.otherDataCentreMillis;
	}

}
