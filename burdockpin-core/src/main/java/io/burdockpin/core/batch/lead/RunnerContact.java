package io.burdockpin.core.batch.lead;

import java.util.OptionalLong;

/**
 * How a leader stood with a runner when a run ended there, for the logs. Immutable.
 *
 * @param contactAgeMillis how long ago the runner was heard, if this leader has heard it
 * @param leaseAgeMillis how long ago this leader has extended the lease, if it has
 * @param openOrderAgeMillis how long the newest order has been without an answer, if one
 * is open
 */
public record RunnerContact(OptionalLong contactAgeMillis, OptionalLong leaseAgeMillis,
		OptionalLong openOrderAgeMillis) {

}
