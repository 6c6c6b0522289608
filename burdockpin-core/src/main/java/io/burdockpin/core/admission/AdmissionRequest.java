package io.burdockpin.core.admission;

import java.util.Optional;

import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;

/**
 * The properties of a request that admission checks.
 *
 * @param queue name of the queue, which may not exist
 * @param bodyBytes length of the body
 * @param keyHash hash of the key, empty without a key
 * @param requestId identifier set by the caller, empty without one
 * @param repeatable whether the request may run more than once
 * @param timeoutMillis how long the caller waits for the response
 */
public record AdmissionRequest(QueueName queue, long bodyBytes, Optional<KeyHash> keyHash,
		Optional<RequestId> requestId, boolean repeatable, long timeoutMillis) {

}
