package io.burdockpin.core.retry;

import io.burdockpin.core.retry.FinalResponse.Refused;

/** What became of the claim of a request that is not repeatable. */
public sealed interface ClaimOutcome {

	/** The claim is held; this request may run. */
	record Granted() implements ClaimOutcome {

	}

	/**
	 * Another request with the same identifier has run, and its answer was kept.
	 *
	 * @param response the kept answer
	 */
	record StoredResponse(RunnerResponse response) implements ClaimOutcome {

	}

	/**
	 * It is not known whether the claim was given. The same claim may be sent again.
	 *
	 * @param reason why
	 */
	record Undecided(String reason) implements ClaimOutcome {

	}

	/**
	 * The claim was not given.
	 *
	 * @param refusal what the caller gets
	 */
	record Denied(Refused refusal) implements ClaimOutcome {

	}

}
