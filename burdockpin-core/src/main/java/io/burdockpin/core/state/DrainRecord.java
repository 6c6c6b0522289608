package io.burdockpin.core.state;

import io.burdockpin.core.model.HostName;

/**
 * A host that a campaign has taken out of service.
 *
 * @param host the host
 * @param drainDeadlineMillis time in milliseconds since the epoch at which its jobs are
 * interrupted
 */
public record DrainRecord(HostName host, long drainDeadlineMillis) {

}
