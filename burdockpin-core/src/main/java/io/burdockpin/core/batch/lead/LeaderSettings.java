package io.burdockpin.core.batch.lead;

import io.burdockpin.core.batch.lead.pool.BalanceSettings;
import io.burdockpin.core.batch.lead.run.SessionSettings;
import io.burdockpin.core.batch.lead.wave.WaveSettings;
import io.burdockpin.core.exc.InvalidValueException;

/**
 * Settings of a leader.
 *
 * @param sessions settings of the sessions with runners
 * @param waves settings of maintenance waves
 * @param balance settings for rebalancing hosts between pools
 * @param runnerRetentionMillis time after which a silent runner without runs is removed
 * @param hostOrdersPerSecond rate of host orders that the platform accepts
 */
public record LeaderSettings(SessionSettings sessions, WaveSettings waves, BalanceSettings balance,
		int runnerRetentionMillis, double hostOrdersPerSecond) {

	public LeaderSettings {
		if (!(hostOrdersPerSecond > 0)) {
			throw new InvalidValueException("hostOrdersPerSecond must be above 0, not " + hostOrdersPerSecond);
		}
	}

}
