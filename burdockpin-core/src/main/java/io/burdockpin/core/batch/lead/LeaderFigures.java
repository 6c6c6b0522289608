package io.burdockpin.core.batch.lead;

import io.burdockpin.core.batch.lead.place.WaitCounts;
import io.burdockpin.core.batch.lead.plan.OrderFigures;
import io.burdockpin.core.batch.lead.pool.BalanceFigures;

/**
 * Figures of a leader's decisions, for its periodic event.
 *
 * @param order order of the latest planning round, over the pools that lacked capacity
 * @param waitingSteps steps that wait for a place and were ready in the latest planning
 * round
 * @param waits waits for better places that have ended since the figures were taken last
 * @param hosts hosts of the pools in the latest balancing round
 */
public record LeaderFigures(OrderFigures order, int waitingSteps, WaitCounts waits, BalanceFigures hosts) {

}
