package io.burdockpin.core.batch.lead;

import java.util.OptionalDouble;

import io.burdockpin.core.batch.lead.plan.OrderRule;
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
 * @param remoteFactor how many times as long a task takes far from its data, or a gang
 * that is spread over racks; empty if not known
 * @param placementOrder how the jobs of a pool that lacks capacity are ranked
 */
public record LeaderSettings(SessionSettings sessions, WaveSettings waves, BalanceSettings balance,
		int runnerRetentionMillis, double hostOrdersPerSecond, OptionalDouble remoteFactor, OrderRule placementOrder) {

	public LeaderSettings {
		if (!(hostOrdersPerSecond > 0)) {
			throw new InvalidValueException("hostOrdersPerSecond must be above 0, not " + hostOrdersPerSecond);
		}
	}

	/**
	 * Creates settings under which no task waits for a better place, and jobs are ranked
	 * by value in time.
	 * @param sessions settings of the sessions with runners
	 * @param waves settings of maintenance waves
	 * @param balance settings for rebalancing hosts between pools
	 * @param runnerRetentionMillis time after which a silent runner without runs is
	 * removed
	 * @param hostOrdersPerSecond rate of host orders that the platform accepts
	 */
	public LeaderSettings(SessionSettings sessions, WaveSettings waves, BalanceSettings balance,
			int runnerRetentionMillis, double hostOrdersPerSecond) {
		this(sessions, waves, balance, runnerRetentionMillis, hostOrdersPerSecond, OptionalDouble.empty(),
				OrderRule.VALUE_IN_TIME);
	}

}
