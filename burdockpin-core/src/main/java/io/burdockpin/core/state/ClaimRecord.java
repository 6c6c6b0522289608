package io.burdockpin.core.state;

import java.util.OptionalLong;

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
 * @param number identifies the request within the holder's life, none in claims of
 * earlier versions
 */
public record ClaimRecord(TeamName team, RequestId requestId, Holder holder, ClaimState state, int status,
		String contentType, boolean bodyKept, Payload body, OptionalLong number) {

	/**
	 * Creates a claim without a number.
	 * @param team the team
	 * @param requestId the caller's identifier
	 * @param holder the life that has the claim
	 * @param state how far the request got
	 * @param status status of the HTTP answer
	 * @param contentType content type of the answer
	 * @param bodyKept whether the body is kept
	 * @param body the kept body
	 */
	public ClaimRecord(TeamName team, RequestId requestId, Holder holder, ClaimState state, int status,
			String contentType, boolean bodyKept, Payload body) {
		this(team, requestId, holder, state, status, contentType, bodyKept, body, OptionalLong.empty());
	}

	/**
	 * Tells whether a claim is this one, sent again while it is held.
	 * @param command the claim
	 * @return {@code true} if it is the same claim of the same life
	 */
	boolean isResentBy(ClaimCommand.ClaimRequest command) {
		return this.state == ClaimState.CLAIMED && this.holder.equals(command.holder()) && this.number.isPresent()
				&& this.number.equals(command.number());
	}

}
