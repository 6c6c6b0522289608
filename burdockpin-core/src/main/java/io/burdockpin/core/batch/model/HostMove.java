package io.burdockpin.core.batch.model;

import java.util.Optional;

/**
 * A move of a host to another pool.
 *
 * @param host the host
 * @param pool the pool it moves to
 * @param begun whether the platform has begun the move
 * @param lifeBefore the runner on the host before the move
 */
public record HostMove(String host, String pool, boolean begun, Optional<RunnerKey> lifeBefore) {

}
