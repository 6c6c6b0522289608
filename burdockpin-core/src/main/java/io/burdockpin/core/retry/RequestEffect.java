package io.burdockpin.core.retry;

/** What a request wants done next. */
public sealed interface RequestEffect {

	/** Commit the claim. */
	record Claim() implements RequestEffect {

	}

	/** Send the same claim again after a pause. */
	record RepeatClaim() implements RequestEffect {

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
	 * @param answer the answer
	 */
	record Reply(FinalAnswer answer) implements RequestEffect {

	}

	/**
	 * Record the answer with the claim.
	 *
	 * @param answer the answer
	 */
	record FinishClaim(Answer answer) implements RequestEffect {

	}

	/** Give the claim back, because no attempt ran. */
	record ReleaseClaim() implements RequestEffect {

	}

}
