package io.burdockpin.core.routing;

import io.burdockpin.core.model.RunnerName;

/**
 * One attachment of a runner. A runner that attaches again or changes its address begins
 * a new one. Immutable.
 *
 * @param runner the runner
 * @param address where it takes requests, {@code ip:port}
 * @param tls whether it takes requests over TLS
 * @param epoch number of the attachment, as the runner announced it
 */
public record RunnerAttachment(RunnerName runner, String address, boolean tls, long epoch) {

}
