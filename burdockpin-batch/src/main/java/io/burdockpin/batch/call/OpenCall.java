package io.burdockpin.batch.call;

import java.util.Optional;

import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;

/** A call without a reply yet. Mutable; belongs to the {@link LeaderClient}. */
final class OpenCall {

	/** Callers come back after an election, which takes about a second. */
	private static final int ELECTION_RETRY_MILLIS = 1_000;

	private final FleetCall call;

	private final ReplyPort replyTo;

	private final long openedMillis;

	private final long timeoutMillis;

	private int unansweredSends;

	OpenCall(FleetCall call, ReplyPort replyTo, long openedMillis, long timeoutMillis) {
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

	void sent() {
		this.unansweredSends++;
	}

	/** Takes note that a member has refused the call without effect. */
	void returned() {
		this.unansweredSends--;
	}

	/**
	 * Returns what is known when the time is over.
	 * @return a refusal only if the call certainly had no effect
	 */
	FleetReply overdueReply() {
		return (this.unansweredSends == 0)
				? new FleetReply.Refused(FleetReply.Reason.NO_LEADER, Optional.of(ELECTION_RETRY_MILLIS))
				: new FleetReply.Unknown();
	}

}
