package io.burdockpin.core.maintenance;

import io.burdockpin.core.model.HostName;

/**
 * A report of a host's worker. Immutable.
 *
 * @param host the host
 * @param bootId changes when the host reboots
 */
public record HostBootReport(HostName host, String bootId) {
}
