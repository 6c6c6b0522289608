package io.burdockpin.entry.router;

import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.retry.ClaimOutcome;
import io.burdockpin.core.retry.FinalAnswer.Refused;
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
		return denied(ErrorCode.OUTCOME_UNKNOWN, "it is not known whether the request was claimed");
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
