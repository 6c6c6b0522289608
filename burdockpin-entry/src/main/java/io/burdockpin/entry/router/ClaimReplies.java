package io.burdockpin.entry.router;

import java.util.List;

import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.retry.ClaimOutcome;
import io.burdockpin.core.retry.FinalResponse.Refused;
import io.burdockpin.core.retry.RunnerResponse;
import io.burdockpin.core.state.ClaimRecord;
import io.burdockpin.core.state.ClaimState;
import io.burdockpin.core.state.CommandResult;

/** Converts replies of the control group to proposals and queries of claims. */
final class ClaimReplies {

	private ClaimReplies() {
	}

	static ClaimOutcome interpret(CallResult result) {
		if (result instanceof CallResult.NotProposed notProposed) {
			return denied(ErrorCode.NO_MAJORITY, notProposed.reason());
		}
		if (result instanceof CallResult.Answered answered
				&& answered.message() instanceof ClientMessage.ProposeReply reply) {
			return interpret(reply.result());
		}
		return new ClaimOutcome.Undecided("the result of the claim is unknown");
	}

	/**
	 * Returns whether the claim was denied because the request has already run. Its
	 * response may then be stored with the earlier claim.
	 * @param result the result of the proposed claim
	 * @return whether to query the earlier claim
	 */
	static boolean hasRun(CallResult result) {
		return interpret(result) instanceof ClaimOutcome.Denied denied
				&& denied.refusal().code() == ErrorCode.ALREADY_RAN;
	}

	/**
	 * Extracts the stored response from the result of a claim query.
	 * @param result the result of the query
	 * @return the stored response, or a denial if there is none
	 */
	static ClaimOutcome storedResponse(CallResult result) {
		return claims(result).stream()
			.filter((claim) -> claim.state() == ClaimState.FINISHED && claim.bodyKept())
			.findFirst()
			.<ClaimOutcome>map((claim) -> new ClaimOutcome.StoredResponse(
					new RunnerResponse(claim.status(), claim.contentType(), claim.body())))
			.orElseGet(
					() -> denied(ErrorCode.ALREADY_RAN, "the request has already run and its response is not stored"));
	}

	private static List<ClaimRecord> claims(CallResult result) {
		if (result instanceof CallResult.Answered answered
				&& answered.message() instanceof ClientMessage.QueryReply reply
				&& reply.result() instanceof QueryResult.Claims claims) {
			return claims.claims();
		}
		return List.of();
	}

	private static ClaimOutcome interpret(CommandResult result) {
		if (result instanceof CommandResult.Rejected rejected) {
			return denied(rejected.code(), rejected.message());
		}
		return new ClaimOutcome.Granted();
	}

	private static ClaimOutcome denied(ErrorCode code, String message) {
		return new ClaimOutcome.Denied(Refused.of(code, message));
	}

}
