package io.burdockpin.batch.call;

import java.util.Optional;

import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;

/** A call without a reply yet. Mutable; belongs to the {@link LeaderClient}. */
final class PendingCall {

	/** An election takes about a second. */
	private static final long MINIMUM_RETRY_MILLIS = 1_000;

	/** Callers that wait for longer may give up although service is back. */
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

	/** Takes note that a member has refused the call without effect. */
	void onRejected() {
		this.unansweredSends--;
		this.lastHost = Optional.empty();
	}

	/**
	 * Tells whether a member may still answer the call.
	 * @param host the host of the member
	 * @return whether it was the last one to get the call and has not returned it
	 */
	boolean isAwaitingReplyFrom(String host) {
		return this.lastHost.equals(Optional.of(host));
	}

	/**
	 * Returns what is known when the call is given up.
	 * @param leaderlessMillis how long the leader has been out of reach; an outage that
	 * has lasted for a time is likely to last for about as long again
	 * @return a refusal only if the call certainly had no effect
	 */
	FleetReply failureReply(long leaderlessMillis) {
		long retryMillis = Math.max(MINIMUM_RETRY_MILLIS, Math.min(leaderlessMillis, MAXIMUM_RETRY_MILLIS));
		return (this.unansweredSends == 0)
				? new FleetReply.Refused(FleetReply.Reason.NO_LEADER, Optional.of((int) retryMillis))
				: new FleetReply.Unknown();
	}

}
