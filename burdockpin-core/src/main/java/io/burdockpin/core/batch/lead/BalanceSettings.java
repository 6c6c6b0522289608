package io.burdockpin.core.batch.lead;

import io.burdockpin.core.util.Checks;

/**
 * Settings of the balance between pools. Immutable.
 *
 * @param handOverPauseMillis pause after an election before the first order about a host
 * @param lookAheadMillis how long a move takes; demand is looked at for this time
 * @param idleTimeoutMillis how long a host is idle before it goes back to the spare pool
 * @param minimumStayMillis how long a host stays in a pool after a move
 * @param retryMillis pause before an order without success is sent again
 * @param hostListPeriodMillis period in which the platform's list of hosts is read
 */
public record BalanceSettings(int handOverPauseMillis, int lookAheadMillis, int idleTimeoutMillis,
		int minimumStayMillis, int retryMillis, int hostListPeriodMillis) {

	public BalanceSettings {
		Checks.range("lookAheadMillis", lookAheadMillis, 0, 3_600_000);
		Checks.range("idleMillis", idleTimeoutMillis, 0, 86_400_000);
		Checks.range("stayMillis", minimumStayMillis, 0, 86_400_000);
		Checks.range("listMillis", hostListPeriodMillis, 100, 86_400_000);
	}

}
