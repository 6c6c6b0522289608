package io.burdockpin.entry.router;

import io.burdockpin.core.admission.AdmissionRequest;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.RequestId;

/**
 * A request as the caller sent it.
 *
 * @param admissionRequest what admission checks
 * @param requestId its identifier; one is made up for a repeatable request without
 * @param contentType content type of the body
 * @param body the body
 */
public record CallerRequest(AdmissionRequest admissionRequest, RequestId requestId, String contentType, Payload body) {

}
