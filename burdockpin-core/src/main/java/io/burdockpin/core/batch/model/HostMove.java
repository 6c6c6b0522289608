package io.burdockpin.core.batch.model;

import java.util.Optional;

/**
 * A move of a host to another pool that is not completed.
 *
 * @param host the name of the host
 * @param pool the name of the destination pool
 * @param begun whether the platform has started the move
 * @param lifeBefore the incarnation of the runner on the host when the move was ordered;
 * empty if the host had none
 */
public record HostMove(String host, String pool, boolean begun, Optional<RunnerKey> lifeBefore) {

}
