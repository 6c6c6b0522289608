package io.burdockpin.core.routing;

/**
 * Assumed round trip times between entry hosts.
 *
 * @param localDataCentreMillis round trip time within a data centre
 * @param remoteDataCentreMillis round trip time to another data centre
 */
public record PeerRoundTripTimes(long localDataCentreMillis, long remoteDataCentreMillis) {

	/**
	 * Returns the round trip time to an entry host.
	 * @param local whether the entry host is in the local data centre
	 * @return the time in milliseconds
	 */
	public long roundTripMillis(boolean local) {
		return local ? this.localDataCentreMillis : this.remoteDataCentreMillis;
	}

}
