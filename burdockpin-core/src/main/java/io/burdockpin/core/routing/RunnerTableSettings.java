package io.burdockpin.core.routing;

/**
 * Settings of the runner table.
 *
 * @param attachmentMillis how long an attachment is valid after an announcement
 * @param maximumRequestMillis maximum duration of a request with its margin, after which
 * the attempts of a previous entry host have ended
 * @param policy choice of runners
 */
public record RunnerTableSettings(long attachmentMillis, long maximumRequestMillis, RoutingPolicy policy) {

}
