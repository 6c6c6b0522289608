package io.burdockpin.core.batch.call;

/** Message on a link between a process that receives calls and a control member. */
public sealed interface CallMessage {

	/**
	 * Returns the correlation number that matches a reply with its call.
	 * @return a number that is unique within the calling process
	 */
	long correlation();

	/**
	 * A call to the control member.
	 *
	 * @param correlation returned in the reply
	 * @param call the call to be answered
	 */
	record Call(long correlation, FleetCall call) implements CallMessage {

	}

	/**
	 * The reply of the control member.
	 *
	 * @param correlation copied from the call
	 * @param reply the only reply to the call
	 */
	record Reply(long correlation, FleetReply reply) implements CallMessage {

	}

}
