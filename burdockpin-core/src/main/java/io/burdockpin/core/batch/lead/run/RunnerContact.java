package io.burdockpin.core.batch.lead.run;

import java.util.OptionalLong;

/**
 * Contact between a leader and a runner at the time when a run ended, for logging.
 * Immutable.
 *
 * @param contactAgeMillis time since the last contact with the runner, or empty if this
 * leader had none
 * @param leaseAgeMillis time since this leader last renewed the lease, or empty if it has
 * not
 * @param openOrderAgeMillis time for which the latest order has been unanswered, or empty
 * if none is open
 */
public record RunnerContact(OptionalLong contactAgeMillis, OptionalLong leaseAgeMillis,
		OptionalLong openOrderAgeMillis) {

}
