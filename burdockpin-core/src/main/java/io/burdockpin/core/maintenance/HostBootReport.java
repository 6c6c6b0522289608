package io.burdockpin.core.maintenance;

import io.burdockpin.core.model.HostName;

/**
 * Boot identifier that the worker of a host has reported. Immutable.
 *
 * @param host the reporting host
 * @param bootId identifier of the boot; changes when the host reboots
 */
public record HostBootReport(HostName host, String bootId) {
}
