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
	 * Commits a command and replies when it has taken effect.
	 *
	 * @param command the command to replicate
	 * @param reply the reply to the caller unless the command is refused
	 */
	record Commit(BatchCommand command, FleetReply reply) implements CallDecision {

		/**
		 * Commits a command and replies with {@link FleetReply.Accepted}.
		 * @param command the command to replicate
		 */
		public Commit(BatchCommand command) {
			this(command, new FleetReply.Accepted());
		}

		/**
		 * Returns the reply to the caller.
		 * @param result the reply that follows from the result of the command
		 * @return the reply of this decision if the command was accepted
		 */
		public FleetReply replyTo(FleetReply result) {
			return (result instanceof FleetReply.Accepted) ? this.reply : result;
		}

	}

}
