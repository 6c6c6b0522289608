package io.burdockpin.entry.router;

import io.burdockpin.core.admission.AdmissionRequest;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.RequestId;

/**
 * A request received from a caller.
 *
 * @param admissionRequest the part that admission control checks
 * @param requestId identifier of the request; generated for a repeatable request without
 * one
 * @param contentType content type of the body
 * @param body the body; may be empty
 */
public record CallerRequest(AdmissionRequest admissionRequest, RequestId requestId, String contentType, Payload body) {

}
