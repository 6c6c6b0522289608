package io.burdockpin.batch.call;

import java.util.Optional;

import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;

/** A call without a reply yet. Mutable; owned by the {@link LeaderClient}. */
final class PendingCall {

	/** The typical duration of an election. */
	private static final long MINIMUM_RETRY_MILLIS = 1_000;

	/** A longer delay would keep callers waiting after the service has recovered. */
	private static final long MAXIMUM_RETRY_MILLIS = 4_000;

	private final FleetCall call;

	private final ReplyPort replyTo;

	private final long openedMillis;

	private final long timeoutMillis;

	private int unansweredSends;

	private Optional<String> lastHost = Optional.empty();

	PendingCall(FleetCall call, ReplyPort replyTo, long openedMillis, long timeoutMillis) {
		this.call = call;
		this.replyTo = replyTo;
		this.openedMillis = openedMillis;
		this.timeoutMillis = timeoutMillis;
	}

	FleetCall call() {
		return this.call;
	}

	ReplyPort replyTo() {
		return this.replyTo;
	}

	long openedMillis() {
		return this.openedMillis;
	}

	long deadlineMillis() {
		return this.openedMillis + this.timeoutMillis;
	}

	int unansweredSends() {
		return this.unansweredSends;
	}

	void onSent(String host) {
		this.unansweredSends++;
		this.lastHost = Optional.of(host);
	}

	/** Handles the response of a member that is not the leader and rejected the call. */
	void onRejected() {
		this.unansweredSends--;
		this.lastHost = Optional.empty();
	}

	/**
	 * Tells whether a member may still answer the call.
	 * @param host the host of the member
	 * @return whether the call was last sent to that member and has not been rejected
	 */
	boolean isAwaitingReplyFrom(String host) {
		return this.lastHost.equals(Optional.of(host));
	}

	/**
	 * Returns the reply to the caller. A leader that rejects the last send because of
	 * overload does not know whether an earlier one will be accepted.
	 * @param reply the reply of the leader to the last send
	 * @return the reply, or that the outcome is unknown
	 */
	FleetReply truthful(FleetReply reply) {
		boolean isOverloaded = reply instanceof FleetReply.Refused refused
				&& refused.reason() == FleetReply.Reason.OVERLOADED;
		return (isOverloaded && this.unansweredSends > 1) ? new FleetReply.Unknown() : reply;
	}

	/**
	 * Returns the reply to a call that is abandoned. The retry delay of a refusal grows
	 * with the duration of the outage, which is likely to last about as long again.
	 * @param leaderlessMillis how long no leader has been known
	 * @return a refusal only if the call certainly had no effect
	 */
	FleetReply failureReply(long leaderlessMillis) {
		long retryMillis = Math.max(MINIMUM_RETRY_MILLIS, Math.min(leaderlessMillis, MAXIMUM_RETRY_MILLIS));
		return (this.unansweredSends == 0)
				? new FleetReply.Refused(FleetReply.Reason.NO_LEADER, Optional.of((int) retryMillis))
				: new FleetReply.Unknown();
	}

}
