package io.burdockpin.core.model;

/**
 * One life of an entry host. Tokens and claims belong to a holder, so that a restarted
 * entry host cannot be mistaken for its earlier life.
 *
 * @param host the entry host
 * @param incarnation a number that is higher after each start
 */
public record Holder(HostName host, long incarnation) {

}
