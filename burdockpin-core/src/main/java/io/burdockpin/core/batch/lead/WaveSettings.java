package io.burdockpin.core.batch.lead;

import io.burdockpin.core.util.Checks;

/**
 * Settings of maintenance waves. Immutable.
 *
 * @param handOverPauseMillis pause after an election before the first order about a host,
 * so that orders of two leaders do not mix
 * @param drainMillis how long a host that is drained for upkeep waits for short tasks
 * @param upkeepMillis shortest time that an upkeep takes; a runner that is heard before
 * has not come back from it
 * @param returnMillis how long a host without a runner counts as down for its upkeep
 * @param retryMillis pause before an order without success is sent again
 */
public record WaveSettings(int handOverPauseMillis, int drainMillis, int upkeepMillis, int returnMillis,
		int retryMillis) {

	public WaveSettings {
		Checks.range("handOverPauseMillis", handOverPauseMillis, 0, 600_000);
		Checks.range("drainMillis", drainMillis, 0, 86_400_000);
		Checks.range("upkeepMillis", upkeepMillis, 0, 86_400_000);
		Checks.range("returnMillis", returnMillis, 0, 86_400_000);
		Checks.range("retryMillis", retryMillis, 10, 600_000);
	}

}
