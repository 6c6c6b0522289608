package io.burdockpin.core.batch.call;

import io.burdockpin.core.batch.state.BatchCommand;

/** What a leader does with a call. Immutable. */
public sealed interface CallDecision {

	/**
	 * Answers as soon as it is confirmed that this member still leads.
	 *
	 * @param reply the answer
	 */
	record Answer(FleetReply reply) implements CallDecision {

	}

	/**
	 * Commits a command and then accepts the call.
	 *
	 * @param command the command
	 */
	record Commit(BatchCommand command) implements CallDecision {

	}

}
