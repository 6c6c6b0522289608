package io.burdockpin.core.state;

import java.util.OptionalLong;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;

/**
 * A claim on a request that is not repeatable, with the response once the request has
 * run.
 *
 * @param team the team of the caller, or the reserved team of open queues
 * @param requestId the request identifier that the caller chose
 * @param holder the incarnation of the entry host that holds the claim
 * @param state whether the request has finished
 * @param status status code of the HTTP response, 0 while there is none
 * @param contentType content type of the response, or an empty string
 * @param bodyKept whether the response body is stored
 * @param body the stored response body, or no bytes
 * @param number identifies the request within the holder's incarnation; empty in claims
 * that earlier versions wrote
 */
public record ClaimRecord(TeamName team, RequestId requestId, Holder holder, ClaimState state, int status,
		String contentType, boolean bodyKept, Payload body, OptionalLong number) {

	/**
	 * Creates a claim without a number.
	 * @param team the team of the caller, or the reserved team of open queues
	 * @param requestId the request identifier that the caller chose
	 * @param holder the incarnation of the entry host that holds the claim
	 * @param state whether the request has finished
	 * @param status status code of the HTTP response, 0 while there is none
	 * @param contentType content type of the response, or an empty string
	 * @param bodyKept whether the response body is stored
	 * @param body the stored response body, or no bytes
	 */
	public ClaimRecord(TeamName team, RequestId requestId, Holder holder, ClaimState state, int status,
			String contentType, boolean bodyKept, Payload body) {
		this(team, requestId, holder, state, status, contentType, bodyKept, body, OptionalLong.empty());
	}

	/**
	 * Returns whether a command resends this claim while it is held.
	 * @param command the command to compare
	 * @return {@code true} if holder and number are equal
	 */
	boolean isResentBy(ClaimCommand.ClaimRequest command) {
		return this.state == ClaimState.CLAIMED && this.holder.equals(command.holder()) && this.number.isPresent()
				&& this.number.equals(command.number());
	}

}
