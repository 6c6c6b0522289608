package io.burdockpin.core.batch.call;

import io.burdockpin.core.batch.state.BatchCommand;

/** The leader's decision about a call. Immutable. */
public sealed interface CallDecision {

	/**
	 * Replies once it is confirmed that this member still leads.
	 *
	 * @param reply the reply to the caller
	 */
	record Answer(FleetReply reply) implements CallDecision {

	}

	/**
	 * Commits a command and replies with {@link FleetReply.Accepted}.
	 *
	 * @param command the command to replicate
	 */
	record Commit(BatchCommand command) implements CallDecision {

	}

}
