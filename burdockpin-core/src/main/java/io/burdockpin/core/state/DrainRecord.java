package io.burdockpin.core.state;

import java.util.Optional;

import io.burdockpin.core.model.HostName;

/**
 * A host that a campaign has taken out.
 *
 * @param host the host
 * @param drainDeadlineMillis time in milliseconds since the epoch at which its jobs are
 * interrupted
 * @param bootId the boot that the host reported from before the drain, if it is known;
 * records of earlier versions have none
 */
public record DrainRecord(HostName host, long drainDeadlineMillis, Optional<String> bootId) {

	/**
	 * Creates a record of a host whose boot is not known.
	 * @param host the host
	 * @param drainDeadlineMillis time in milliseconds since the epoch at which its jobs
	 * are interrupted
	 */
	public DrainRecord(HostName host, long drainDeadlineMillis) {
		this(host, drainDeadlineMillis, Optional.empty());
	}

}
