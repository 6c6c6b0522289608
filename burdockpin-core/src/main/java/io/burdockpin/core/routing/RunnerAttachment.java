package io.burdockpin.core.routing;

import io.burdockpin.core.model.RunnerName;

/**
 * Identifies one attachment of a runner to an entry host. A runner that attaches again or
 * changes its address starts a new attachment. Immutable.
 *
 * @param runner name of the runner
 * @param address address for requests, {@code ip:port}
 * @param tls whether the runner accepts requests over TLS
 * @param epoch epoch that the runner announced
 */
public record RunnerAttachment(RunnerName runner, String address, boolean tls, long epoch) {

}
