package io.burdockpin.core.batch.lead;

/**
 * Settings of the leader. Immutable.
 *
 * @param sessions dealings with runners
 * @param waves maintenance waves
 * @param balance the balance between pools
 * @param forgetRunnerMillis how long a silent runner without runs is remembered
 */
public record LeaderSettings(SessionSettings sessions, WaveSettings waves, BalanceSettings balance,
		int forgetRunnerMillis) {

}
