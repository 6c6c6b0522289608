package io.burdockpin.core.state;

import io.burdockpin.core.model.QueueName;

/**
 * A queue in the replicated state.
 *
 * @param name the queue
 * @param open whether requests without a key are accepted
 * @param version grows with each change
 */
public record QueueRecord(QueueName name, boolean open, long version) {

}
