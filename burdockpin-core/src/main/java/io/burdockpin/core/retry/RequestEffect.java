package io.burdockpin.core.retry;

/** An effect requested by {@link RequestAttempts}. */
public sealed interface RequestEffect {

	/** Commits the claim. */
	record Claim() implements RequestEffect {

	}

	/** Sends the same claim again after a pause. */
	record RetryClaim() implements RequestEffect {

	}

	/**
	 * Queues the request for a slot.
	 *
	 * @param retry whether an attempt has been made before, so that the retry budget
	 * applies
	 */
	record Enqueue(boolean retry) implements RequestEffect {

	}

	/**
	 * Sends the response to the caller. Requested exactly once.
	 *
	 * @param response the response
	 */
	record Reply(FinalResponse response) implements RequestEffect {

	}

	/**
	 * Stores the response with the claim.
	 *
	 * @param response the response
	 */
	record FinishClaim(RunnerResponse response) implements RequestEffect {

	}

	/** Releases the claim, because no attempt has run. */
	record ReleaseClaim() implements RequestEffect {

	}

}
