package io.burdockpin.core.state;

import io.burdockpin.core.model.QueueName;

/**
 * A queue in the replicated state.
 *
 * @param name name of the queue
 * @param open whether requests without a key are accepted
 * @param version log index of the last change, compared with the version an operator
 * expects
 */
public record QueueRecord(QueueName name, boolean open, long version) {

}
