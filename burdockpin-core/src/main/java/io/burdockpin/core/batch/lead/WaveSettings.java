package io.burdockpin.core.batch.lead;

import io.burdockpin.core.util.Checks;

/**
 * Settings of maintenance waves. Immutable.
 *
 * @param handOverPauseMillis pause after an election before the first order about a host,
 * so that orders of two leaders do not mix
 * @param drainTimeoutMillis how long a host that is drained for upkeep waits for short
 * tasks
 * @param minimumUpkeepMillis shortest time that an upkeep takes; a runner that is heard
 * before has not come back from it
 * @param returnTimeoutMillis how long a host without a runner counts as down for its
 * upkeep
 * @param retryMillis pause before an order without success is sent again
 */
public record WaveSettings(int handOverPauseMillis, int drainTimeoutMillis, int minimumUpkeepMillis,
		int returnTimeoutMillis, int retryMillis) {

	public WaveSettings {
		Checks.range("handOverPauseMillis", handOverPauseMillis, 0, 600_000);
		Checks.range("drainMillis", drainTimeoutMillis, 0, 86_400_000);
		Checks.range("upkeepMillis", minimumUpkeepMillis, 0, 86_400_000);
		Checks.range("returnMillis", returnTimeoutMillis, 0, 86_400_000);
		Checks.range("retryMillis", retryMillis, 10, 600_000);
	}

}
