package io.burdockpin.core.routing;

/**
 * Round trips between entry hosts.
 *
 * @param localDataCentreMillis within a data centre
 * @param remoteDataCentreMillis to another data centre
 */
public record PeerRoundTripTimes(long localDataCentreMillis, long remoteDataCentreMillis) {

	/**
	 * Returns the round trip to an entry host.
	 * @param ownDataCentre whether it stands in the own data centre
	 * @return the time in milliseconds
	 */
	public long roundTripMillis(boolean ownDataCentre) {
		return ownDataCentre ? this.localDataCentreMillis : this.remoteDataCentreMillis;
	}

}
