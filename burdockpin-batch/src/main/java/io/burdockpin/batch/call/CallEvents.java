package io.burdockpin.batch.call;

import java.time.InstantSource;

import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridClock;
import io.burdockpin.runtime.event.EventLog;
import org.apache.pekko.actor.typed.ActorRef;

/** Records refused and unanswered calls and changes of the contact with the leader. */
final class CallEvents {

	private final ActorRef<EventLog.Command> log;

	private final InstantSource wallClock;

	private final HybridClock hybridClock = new HybridClock();

	CallEvents(ActorRef<EventLog.Command> log, InstantSource wallClock) {
		this.log = log;
		this.wallClock = wallClock;
	}

	void leaderFound(String host) {
		record(event(EventKind.LEADER_CONTACT_CHANGED).with(EventField.HOST, host).with(EventField.STATE, "FOUND"));
	}

	void leaderLost(String host, String reason) {
		record(event(EventKind.LEADER_CONTACT_CHANGED).with(EventField.HOST, host)
			.with(EventField.STATE, "LOST")
			.with(EventField.DETAIL, reason));
	}

	/**
	 * Records a target of the search that was abandoned before it was known to be the
	 * leader.
	 * @param host the abandoned member
	 * @param reason why it was abandoned
	 * @param failures number of targets abandoned since the leader was last known
	 */
	void leaderNotFound(String host, String reason, int failures) {
		record(event(EventKind.LEADER_CONTACT_CHANGED).with(EventField.HOST, host)
			.with(EventField.STATE, "NOT_FOUND")
			.with(EventField.DETAIL, reason)
			.with(EventField.COUNT, failures));
	}

	/**
	 * Records the reply to a caller if the call was refused or its outcome is unknown.
	 * @param call the call; only those of callers are recorded
	 * @param reply the reply as sent to the caller
	 * @param waitedMillis time from the arrival of the call to the reply
	 * @param unansweredSends how often the call was sent without an answer
	 */
	void replied(FleetCall call, FleetReply reply, long waitedMillis, int unansweredSends) {
		if (!(call instanceof FleetCall.CallerCall callerCall)) {
			return;
		}
		String code;
		if (reply instanceof FleetReply.Refused refused) {
			code = refused.reason().name();
		}
		else if (reply instanceof FleetReply.Unknown) {
			code = "UNKNOWN";
		}
		else {
			return;
		}
		String job = callerCall.path().substring(callerCall.path().lastIndexOf('/') + 1);
		record(event(EventKind.CALL_REFUSED).with(EventField.JOB, job)
			.with(EventField.REQUEST, call.getClass().getSimpleName())
			.with(EventField.CODE, code)
			.with(EventField.MILLIS, waitedMillis)
			.with(EventField.COUNT, unansweredSends));
	}

	private Event event(EventKind kind) {
		return Event.of(kind, this.hybridClock.tick(this.wallClock.millis()));
	}

	private void record(Event event) {
		this.log.tell(new EventLog.Append(event));
	}

}
