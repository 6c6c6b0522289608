package io.burdockpin.core.state;

import java.util.OptionalLong;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;

/**
 * A change of the claims, which make sure that a request that is not repeatable runs at
 * most once.
 */
public sealed interface ClaimCommand extends Command {

	/**
	 * Claims the exclusive right to run a request.
	 *
	 * @param team the team, or the reserved team of open queues
	 * @param requestId the request identifier that the caller chose
	 * @param holder the incarnation of the entry host that claims
	 * @param number identifies the request within the holder's incarnation; a claim with
	 * the same number is the same claim, resent before the request was started
	 */
	record ClaimRequest(TeamName team, RequestId requestId, Holder holder,
			OptionalLong number) implements ClaimCommand {

		/**
		 * Creates a claim without a number, which cannot be resent.
		 * @param team the team of the caller, or the reserved team of open queues
		 * @param requestId the request identifier that the caller chose
		 * @param holder the incarnation of the entry host that claims
		 */
		public ClaimRequest(TeamName team, RequestId requestId, Holder holder) {
			this(team, requestId, holder, OptionalLong.empty());
		}

	}

	/**
	 * Records the response of a claimed request that ran.
	 *
	 * @param team the team of the caller, or the reserved team of open queues
	 * @param requestId the request identifier that the caller chose
	 * @param holder the incarnation of the entry host that holds the claim
	 * @param status the HTTP status of the response
	 * @param contentType the content type of the response, or an empty string
	 * @param bodyKept whether the response body is stored with the claim
	 * @param body the response body, or no bytes if it is not stored
	 */
	record FinishClaim(TeamName team, RequestId requestId, Holder holder, int status, String contentType,
			boolean bodyKept, Payload body) implements ClaimCommand {

	}

	/**
	 * Releases a claim because the request certainly did not run.
	 *
	 * @param team the team of the caller, or the reserved team of open queues
	 * @param requestId the request identifier that the caller chose
	 * @param holder the incarnation of the entry host that holds the claim
	 * @param number the number of the claim, so that a delayed release does not release a
	 * later claim of the same incarnation
	 */
	record ReleaseClaim(TeamName team, RequestId requestId, Holder holder,
			OptionalLong number) implements ClaimCommand {

		/**
		 * Creates the release of a claim without a number.
		 * @param team the team of the caller, or the reserved team of open queues
		 * @param requestId the request identifier that the caller chose
		 * @param holder the incarnation of the entry host that holds the claim
		 */
		public ReleaseClaim(TeamName team, RequestId requestId, Holder holder) {
			this(team, requestId, holder, OptionalLong.empty());
		}

	}

}
