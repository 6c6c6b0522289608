package io.burdockpin.entry.event;

import java.util.Optional;

import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridClock;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.runtime.event.EventLog;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Stamps events and messages of one actor with its hybrid clock and hands the events to
 * the event log, if there is one. Mutable; owned by that actor.
 */
public final class EventRecorder {

	private final EntryIdentity identity;

	private final Optional<ActorRef<EventLog.Command>> log;

	private final HybridClock clock = new HybridClock();

	/**
	 * Creates a recorder.
	 * @param identity the own process
	 * @param log the event log, none if no event file is set
	 */
	public EventRecorder(EntryIdentity identity, Optional<ActorRef<EventLog.Command>> log) {
		this.identity = identity;
		this.log = log;
	}

	/**
	 * Begins an event at the current time.
	 * @param kind what happened
	 * @return the event without fields
	 */
	public Event newEvent(EventKind kind) {
		return Event.of(kind, nextTimestamp());
	}

	/**
	 * Writes an event.
	 * @param event the event
	 */
	public void record(Event event) {
		this.log.ifPresent((target) -> target.tell(new EventLog.Append(event)));
	}

	/**
	 * Returns a timestamp for a message.
	 * @return a timestamp later than all before
	 */
	public HybridTimestamp nextTimestamp() {
		return this.clock.tick(this.identity.nowMillis());
	}

	/**
	 * Takes note of the timestamp of a received message.
	 * @param remote the timestamp
	 */
	public void merge(HybridTimestamp remote) {
		this.clock.merge(remote);
	}

}
