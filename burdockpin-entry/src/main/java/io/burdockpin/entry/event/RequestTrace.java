package io.burdockpin.entry.event;

import java.util.Optional;

import io.burdockpin.core.admission.AdmissionRequest;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.membership.PeerMessage.ForwardRequest;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;

/**
 * The common fields of all events of an open request, with its acceptance as long as no
 * event contains it. Mutable; owned by the {@link RequestEventRecorder}.
 */
final class RequestTrace {

	private final long number;

	private final RequestId requestId;

	private final Optional<TeamName> team;

	private final boolean repeatable;

	private final Optional<String> forwardedBy;

	private Optional<Acceptance> pendingAcceptance;

	private boolean started;

	private RequestTrace(long number, RequestId requestId, Optional<TeamName> team, boolean repeatable,
			Optional<String> forwardedBy, Optional<Acceptance> unwritten) {
		this.number = number;
		this.requestId = requestId;
		this.team = team;
		this.repeatable = repeatable;
		this.forwardedBy = forwardedBy;
		this.pendingAcceptance = unwritten;
	}

	static RequestTrace accepted(long number, AdmissionRequest admissionRequest, RequestId requestId,
			Optional<TeamName> team, HybridTimestamp timestamp) {
		return new RequestTrace(number, requestId, team, admissionRequest.repeatable(), Optional.empty(),
				Optional.of(new Acceptance(timestamp, admissionRequest.queue(), admissionRequest.keyHash())));
	}

	static RequestTrace forwarded(long number, ForwardRequest request, Holder sender) {
		String attempt = "%s/%d/%d".formatted(sender.host(), sender.incarnation(), request.attempt());
		return new RequestTrace(number, request.requestId(), request.team(), request.repeatable(), Optional.of(attempt),
				Optional.empty());
	}

	// access

	long number() {
		return this.number;
	}

	boolean isForwarded() {
		return this.forwardedBy.isPresent();
	}

	/**
	 * Returns whether the start of an attempt must be in the file before its end. If this
	 * process is killed, the attempt may have run, which matters for a request that is
	 * not repeatable. It may also be running still and then counts toward the limit of
	 * the team, which is checked at the entry host that holds the token.
	 * @return {@code true} if the start needs an event of its own
	 */
	boolean requiresStartEvent() {
		return !this.repeatable || (this.team.isPresent() && !isForwarded());
	}

	// events

	void onAttemptStarted() {
		this.started = true;
	}

	/**
	 * Creates the event of the acceptance, unless it is recorded already or the request
	 * no longer waits for its first attempt.
	 * @return the event with the timestamp of the acceptance, or empty
	 */
	Optional<Event> takeAcceptedEvent() {
		Optional<Acceptance> taken = this.pendingAcceptance.filter((acceptance) -> !this.started);
		if (taken.isPresent()) {
			this.pendingAcceptance = Optional.empty();
		}
		return taken.map((acceptance) -> acceptance.addTo(event(EventKind.REQUEST_ACCEPTED, acceptance.timestamp())));
	}

	/**
	 * Creates an event, which includes the acceptance if that is not recorded yet.
	 * @param kind the kind of the event
	 * @param timestamp the timestamp of the event
	 * @return the event with the common fields
	 */
	Event event(EventKind kind, HybridTimestamp timestamp) {
		Event event = Event.of(kind, timestamp)
			.with(EventField.REQUEST, this.requestId)
			.with(EventField.SUBMISSION, this.number)
			.with(EventField.REPEATABLE, this.repeatable);
		event = withOptional(event, EventField.TEAM, this.team);
		event = withOptional(event, EventField.FORWARDED_BY, this.forwardedBy);
		if (this.pendingAcceptance.isPresent()) {
			Acceptance acceptance = this.pendingAcceptance.get();
			event = acceptance.addTo(event).with(EventField.ACCEPTED, acceptance.timestamp().packed());
			this.pendingAcceptance = Optional.empty();
		}
		return event;
	}

	// helpers

	private static Event withOptional(Event event, EventField field, Optional<?> value) {
		return value.isPresent() ? event.with(field, value.get()) : event;
	}

	private record Acceptance(HybridTimestamp timestamp, QueueName queue, Optional<KeyHash> key) {

		Event addTo(Event event) {
			return withOptional(event.with(EventField.QUEUE, this.queue), EventField.KEY,
					this.key.map(KeyHash::abbreviated));
		}

	}

}
