package io.burdockpin.core.state;

import java.util.OptionalLong;

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
	 * @param number identifies the request within the holder's life; a claim with the
	 * same number is the same claim, sent again before the request was started
	 */
	record ClaimRequest(TeamName team, RequestId requestId, Holder holder,
			OptionalLong number) implements ClaimCommand {

		/**
		 * Creates a claim that is never sent again.
		 * @param team the team
		 * @param requestId the caller's identifier
		 * @param holder the claiming life
		 */
		public ClaimRequest(TeamName team, RequestId requestId, Holder holder) {
			this(team, requestId, holder, OptionalLong.empty());
		}

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
	 * @param number the number of the claim; a late release must not give back a later
	 * claim of the same life
	 */
	record ReleaseClaim(TeamName team, RequestId requestId, Holder holder,
			OptionalLong number) implements ClaimCommand {

		/**
		 * Creates the release of a claim without a number.
		 * @param team the team
		 * @param requestId the caller's identifier
		 * @param holder the life that holds the claim
		 */
		public ReleaseClaim(TeamName team, RequestId requestId, Holder holder) {
			this(team, requestId, holder, OptionalLong.empty());
		}

	}

}
