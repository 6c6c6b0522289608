package io.burdockpin.core.batch.lead.host;

/**
 * Entry of the platform's host list.
 *
 * @param host name of the host
 * @param pool pool of the host
 * @param up whether the host is neither down, moving nor under maintenance
 */
public record HostEntry(String host, String pool, boolean up) {

}
