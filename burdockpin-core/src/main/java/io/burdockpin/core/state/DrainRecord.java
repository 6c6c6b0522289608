package io.burdockpin.core.state;

import java.util.Optional;

import io.burdockpin.core.model.HostName;

/**
 * A host that is out of service for a campaign.
 *
 * @param host name of the host
 * @param drainDeadlineMillis time in milliseconds since the epoch at which its jobs are
 * interrupted
 * @param bootId boot identifier that the host reported before the drain; empty if it is
 * not known and in records of earlier versions
 */
public record DrainRecord(HostName host, long drainDeadlineMillis, Optional<String> bootId) {

	/**
	 * Creates a record of a host whose boot identifier is not known.
	 * @param host name of the host
	 * @param drainDeadlineMillis time in milliseconds since the epoch at which its jobs
	 * are interrupted
	 */
	public DrainRecord(HostName host, long drainDeadlineMillis) {
		this(host, drainDeadlineMillis, Optional.empty());
	}

}
