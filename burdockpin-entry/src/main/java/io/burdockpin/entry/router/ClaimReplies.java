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

/** Interprets the result of a proposed claim. */
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
		return new ClaimOutcome.Undecided("it is not known whether the request was claimed");
	}

	/**
	 * Tells whether the claimed request has run before, so that its answer may be kept.
	 * @param result the result of the claim
	 * @return whether to ask for the claim
	 */
	static boolean hasRun(CallResult result) {
		return interpret(result) instanceof ClaimOutcome.Denied denied
				&& denied.refusal().code() == ErrorCode.ALREADY_RAN;
	}

	/**
	 * Interprets the answer to the question for a claim that has run.
	 * @param result the answer
	 * @return the kept answer, or the refusal if none is kept
	 */
	static ClaimOutcome storedResponse(CallResult result) {
		return claims(result).stream()
			.filter((claim) -> claim.state() == ClaimState.FINISHED && claim.bodyKept())
			.findFirst()
			.<ClaimOutcome>map((claim) -> new ClaimOutcome.StoredResponse(
					new RunnerResponse(claim.status(), claim.contentType(), claim.body())))
			.orElseGet(() -> denied(ErrorCode.ALREADY_RAN, "the request has run; its answer is not kept"));
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
