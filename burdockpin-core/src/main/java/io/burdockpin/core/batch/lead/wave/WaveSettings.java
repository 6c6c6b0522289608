package io.burdockpin.core.batch.lead.wave;

import io.burdockpin.core.util.Checks;

/**
 * Settings of maintenance waves.
 *
 * @param handOverPauseMillis delay of a new leader after an order of an earlier one for
 * the same host
 * @param drainTimeoutMillis time for which a draining host waits for finite tasks before
 * they are stopped
 * @param minimumMaintenanceMillis minimum duration of a maintenance; a runner that
 * answers earlier has not returned from it
 * @param returnTimeoutMillis time after which a host without a runner counts as returned,
 * from the end of its minimum maintenance, or from its start if it had no runner before
 * @param retryMillis delay before a failed order is retried
 */
public record WaveSettings(int handOverPauseMillis, int drainTimeoutMillis, int minimumMaintenanceMillis,
		int returnTimeoutMillis, int retryMillis) {

	public WaveSettings {
		Checks.range("handOverPauseMillis", handOverPauseMillis, 0, 600_000);
		Checks.range("drainTimeoutMillis", drainTimeoutMillis, 0, 86_400_000);
		Checks.range("minimumMaintenanceMillis", minimumMaintenanceMillis, 0, 86_400_000);
		Checks.range("returnTimeoutMillis", returnTimeoutMillis, 0, 86_400_000);
		Checks.range("retryMillis", retryMillis, 10, 600_000);
	}

}
