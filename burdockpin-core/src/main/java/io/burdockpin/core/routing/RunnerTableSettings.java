package io.burdockpin.core.routing;

/**
 * Settings of the runner table.
 *
 * @param attachmentMillis how long an attachment lasts after an announcement
 * @param maximumRequestMillis longest request duration with its margin; attempts of an
 * earlier entry host have ended after it
 * @param policy how runners are chosen
 */
public record RunnerTableSettings(long attachmentMillis, long maximumRequestMillis, RoutingPolicy policy) {

}
