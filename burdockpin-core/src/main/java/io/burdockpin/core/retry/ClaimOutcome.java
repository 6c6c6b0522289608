package io.burdockpin.core.retry;

import io.burdockpin.core.retry.FinalResponse.Refused;

/** Result of a claim for a request that is not repeatable. */
public sealed interface ClaimOutcome {

	/** The claim is granted, so the request may run. */
	record Granted() implements ClaimOutcome {

	}

	/**
	 * Another request with the same identifier has run and its response is stored.
	 *
	 * @param response the stored response
	 */
	record StoredResponse(RunnerResponse response) implements ClaimOutcome {

	}

	/**
	 * It is not known whether the claim is granted. The same claim may be sent again.
	 *
	 * @param reason description of the reason
	 */
	record Undecided(String reason) implements ClaimOutcome {

	}

	/**
	 * The claim is denied.
	 *
	 * @param refusal the response for the caller
	 */
	record Denied(Refused refusal) implements ClaimOutcome {

	}

}
