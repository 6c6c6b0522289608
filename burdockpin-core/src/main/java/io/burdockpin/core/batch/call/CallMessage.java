package io.burdockpin.core.batch.call;

/** What travels on a link between a process that takes calls and a control member. */
public sealed interface CallMessage {

	/**
	 * Identifies a call among those of one process.
	 * @return the number
	 */
	long correlation();

	/**
	 * A call.
	 *
	 * @param correlation repeated in the reply
	 * @param call the call
	 */
	record Call(long correlation, FleetCall call) implements CallMessage {

	}

	/**
	 * The reply.
	 *
	 * @param correlation from the call
	 * @param reply the reply
	 */
	record Reply(long correlation, FleetReply reply) implements CallMessage {

	}

}
