package io.burdockpin.core.state;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;

/**
 * A claim on a request that is not repeatable.
 *
 * @param team the team
 * @param requestId the caller's identifier
 * @param holder the life of an entry host that has the claim
 * @param state how far the request got
 * @param status HTTP status of the answer, 0 while there is none
 * @param contentType content type of the answer
 * @param bodyKept whether the body is kept
 * @param body the kept body
 */
public record ClaimRecord(TeamName team, RequestId requestId, Holder holder, ClaimState state, int status,
		String contentType, boolean bodyKept, Payload body) {

}
