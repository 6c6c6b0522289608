package io.burdockpin.core.retry;

/** What a request wants done next. */
public sealed interface RequestEffect {

	/** Commit the claim. */
	record Claim() implements RequestEffect {

	}

	/** Send the same claim again after a pause. */
	record RetryClaim() implements RequestEffect {

	}

	/**
	 * Wait for a slot.
	 *
	 * @param retry whether an attempt was made before, so that the retry budget applies
	 */
	record Enqueue(boolean retry) implements RequestEffect {

	}

	/**
	 * Give the answer to the caller. Comes exactly once.
	 *
	 * @param response the answer
	 */
	record Reply(FinalResponse response) implements RequestEffect {

	}

	/**
	 * Record the answer with the claim.
	 *
	 * @param response the answer
	 */
	record FinishClaim(RunnerResponse response) implements RequestEffect {

	}

	/** Give the claim back, because no attempt ran. */
	record ReleaseClaim() implements RequestEffect {

	}

}
