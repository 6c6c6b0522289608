package io.burdockpin.core.routing;

import io.burdockpin.core.model.QueueName;

/**
 * Number of attached runners of a queue in one state.
 *
 * @param queue queue that the runners serve
 * @param state state of the runners
 * @param count number of runners
 */
public record RunnerCount(QueueName queue, RunnerState state, int count) {

}
