package io.burdockpin.core.routing;

import io.burdockpin.core.model.QueueName;

/**
 * How many attached runners of a queue are in a state.
 *
 * @param queue the queue
 * @param state the state
 * @param count the number of runners
 */
public record RunnerCount(QueueName queue, RunnerState state, int count) {

}
