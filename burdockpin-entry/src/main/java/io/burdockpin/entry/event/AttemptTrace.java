package io.burdockpin.entry.event;

import java.util.Optional;

import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridTimestamp;

/**
 * An attempt that has not ended, with its start time as long as no event contains it.
 * Mutable; owned by the {@link RequestEventRecorder}.
 */
final class AttemptTrace {

	private final RequestTrace request;

	private final long attempt;

	private final EventField targetField;

	private final Object target;

	private Optional<HybridTimestamp> pendingStart;

	AttemptTrace(RequestTrace request, long attempt, EventField targetField, Object target, HybridTimestamp started) {
		this.request = request;
		this.attempt = attempt;
		this.targetField = targetField;
		this.target = target;
		this.pendingStart = Optional.of(started);
		request.onAttemptStarted();
	}

	RequestTrace request() {
		return this.request;
	}

	/**
	 * Creates the event of the start if it must be in the file before the end, and marks
	 * the start as recorded.
	 * @return the event; empty if the event of the end suffices or the start is recorded
	 */
	Optional<Event> takeStartEvent() {
		Optional<HybridTimestamp> started = this.pendingStart.filter((timestamp) -> this.request.requiresStartEvent());
		if (started.isPresent()) {
			this.pendingStart = Optional.empty();
		}
		return started
			.map((timestamp) -> event(EventKind.ATTEMPT_STARTED, timestamp).with(this.targetField, this.target));
	}

	/**
	 * Creates the event of the end, which includes the start unless that has an event of
	 * its own.
	 * @param kind {@code ATTEMPT_ENDED}, or {@code REQUEST_ANSWERED} if the attempt ends
	 * its request
	 * @param timestamp end of the attempt
	 * @return the event without the outcome
	 */
	Event endEvent(EventKind kind, HybridTimestamp timestamp) {
		Event event = event(kind, timestamp);
		if (this.pendingStart.isPresent()) {
			return event.with(this.targetField, this.target).with(EventField.STARTED, this.pendingStart.get().packed());
		}
		return (this.targetField == EventField.HOST) ? event.with(EventField.HOST, this.target) : event;
	}

	// helpers

	private Event event(EventKind kind, HybridTimestamp timestamp) {
		return this.request.event(kind, timestamp).with(EventField.ATTEMPT, this.attempt);
	}

}
