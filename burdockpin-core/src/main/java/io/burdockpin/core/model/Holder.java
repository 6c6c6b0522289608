package io.burdockpin.core.model;

/**
 * One incarnation of an entry host, from its start to its end. Tokens and claims belong
 * to a holder, so that a restarted entry host is not mistaken for its earlier
 * incarnation.
 *
 * @param host name of the entry host
 * @param incarnation number of the incarnation, which increases with each start
 */
public record Holder(HostName host, long incarnation) {

}
