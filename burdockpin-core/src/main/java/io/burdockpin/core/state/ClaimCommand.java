package io.burdockpin.core.state;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;

/** A change of the claims on requests that are not repeatable. */
public sealed interface ClaimCommand extends Command {

	/**
	 * Claims the only right to run a request.
	 *
	 * @param team the team, or the reserved team of open queues
	 * @param requestId the caller's identifier
	 * @param holder the claiming life of an entry host
	 */
	record ClaimRequest(TeamName team, RequestId requestId, Holder holder) implements ClaimCommand {

	}

	/**
	 * Records that a claimed request ran.
	 *
	 * @param team the team
	 * @param requestId the caller's identifier
	 * @param holder the life that holds the claim
	 * @param status the HTTP status of the answer
	 * @param contentType the content type of the answer, or an empty string
	 * @param bodyKept whether the body is kept with the claim
	 * @param body the body if it is kept
	 */
	record FinishClaim(TeamName team, RequestId requestId, Holder holder, int status, String contentType,
			boolean bodyKept, Payload body) implements ClaimCommand {

	}

	/**
	 * Gives a claim back because the request certainly did not run.
	 *
	 * @param team the team
	 * @param requestId the caller's identifier
	 * @param holder the life that holds the claim
	 */
	record ReleaseClaim(TeamName team, RequestId requestId, Holder holder) implements ClaimCommand {

	}

}
