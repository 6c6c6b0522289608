package io.burdockpin.core.batch.lead.pool;

import io.burdockpin.core.util.Checks;

/**
 * Settings for rebalancing hosts between pools.
 *
 * @param handOverPauseMillis delay of a new leader after an order of an earlier one for
 * the same host
 * @param lookAheadMillis expected duration of a move; demand is projected this far ahead
 * @param idleTimeoutMillis idle time after which a host returns to the spare pool
 * @param minimumStayMillis minimum time a host stays in a pool after a move
 * @param retryMillis delay before a failed order is retried
 * @param hostListPeriodMillis interval at which the platform's host list is read
 */
public record BalanceSettings(int handOverPauseMillis, int lookAheadMillis, int idleTimeoutMillis,
		int minimumStayMillis, int retryMillis, int hostListPeriodMillis) {

	public BalanceSettings {
		Checks.range("lookAheadMillis", lookAheadMillis, 0, 3_600_000);
		Checks.range("idleTimeoutMillis", idleTimeoutMillis, 0, 86_400_000);
		Checks.range("minimumStayMillis", minimumStayMillis, 0, 86_400_000);
		Checks.range("hostListPeriodMillis", hostListPeriodMillis, 100, 86_400_000);
	}

}
