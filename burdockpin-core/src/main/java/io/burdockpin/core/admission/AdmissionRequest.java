package io.burdockpin.core.admission;

import java.util.Optional;

import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;

/**
 * What admission needs to know of a request.
 *
 * @param queue the queue
 * @param bodyBytes length of the body
 * @param keyHash hash of the key that came with it
 * @param requestId its identifier
 * @param repeatable whether it may run more than once
 * @param timeoutMillis how long the caller waits
 */
public record AdmissionRequest(QueueName queue, long bodyBytes, Optional<KeyHash> keyHash,
		Optional<RequestId> requestId, boolean repeatable, long timeoutMillis) {

}
