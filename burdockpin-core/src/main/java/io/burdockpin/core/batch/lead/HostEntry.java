package io.burdockpin.core.batch.lead;

/**
 * A host as the platform lists it.
 *
 * @param host the host
 * @param pool the pool it belongs to
 * @param up whether it is neither down, moving nor under maintenance
 */
public record HostEntry(String host, String pool, boolean up) {

}
