package io.burdockpin.core.batch.lead;

import io.burdockpin.core.exc.InvalidValueException;

/**
 * Settings of the leader. Immutable.
 *
 * @param sessions dealings with runners
 * @param waves maintenance waves
 * @param balance the balance between pools
 * @param runnerRetentionMillis how long a silent runner without runs is remembered
 * @param hostOrdersPerSecond how many orders about hosts the platform accepts
 */
public record LeaderSettings(SessionSettings sessions, WaveSettings waves, BalanceSettings balance,
		int runnerRetentionMillis, double hostOrdersPerSecond) {

	public LeaderSettings {
		if (!(hostOrdersPerSecond > 0)) {
			throw new InvalidValueException("hostOrdersPerSecond must be above 0, not " + hostOrdersPerSecond);
		}
	}

}
