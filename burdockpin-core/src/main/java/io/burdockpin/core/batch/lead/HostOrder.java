package io.burdockpin.core.batch.lead;

/**
 * What the leader asks of the platform about a host. Immutable.
 *
 * @param fencingToken the term of the leader
 * @param host the host
 * @param wave the maintenance wave whose upkeep is to begin; all that runs on the host
 * ends at once
 */
public record HostOrder(long fencingToken, String host, long wave) {

}
