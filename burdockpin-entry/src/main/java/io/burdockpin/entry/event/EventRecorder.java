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
 * Assigns hybrid timestamps to the events and messages of one actor and passes the events
 * to the event log, if there is one. Mutable; owned by that actor.
 */
public final class EventRecorder {

	private final EntryIdentity identity;

	private final Optional<ActorRef<EventLog.Command>> log;

	private final HybridClock clock = new HybridClock();

	/**
	 * Creates a recorder.
	 * @param identity the identity and clock of this process
	 * @param log the event log; empty if no event file is configured
	 */
	public EventRecorder(EntryIdentity identity, Optional<ActorRef<EventLog.Command>> log) {
		this.identity = identity;
		this.log = log;
	}

	/**
	 * Creates an event with the next timestamp.
	 * @param kind the kind of the event
	 * @return the event without fields
	 */
	public Event newEvent(EventKind kind) {
		return Event.of(kind, nextTimestamp());
	}

	/**
	 * Appends an event to the event log, or discards it if there is none.
	 * @param event the event
	 */
	public void record(Event event) {
		this.log.ifPresent((target) -> target.tell(new EventLog.Append(event)));
	}

	/**
	 * Returns a timestamp for a message or an event.
	 * @return a timestamp later than all earlier ones of this recorder
	 */
	public HybridTimestamp nextTimestamp() {
		return this.clock.tick(this.identity.nowMillis());
	}

	/**
	 * Advances the clock to the timestamp of a received message, so that later timestamps
	 * follow it.
	 * @param remote the timestamp in the message
	 */
	public void merge(HybridTimestamp remote) {
		this.clock.merge(remote);
	}

}
