package io.burdockpin.core.event;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * A structured event of the event log. Immutable.
 */
public final class Event {

	private final EventKind kind;

	private final HybridTimestamp timestamp;

	private final Map<EventField, String> fields;

	private Event(EventKind kind, HybridTimestamp timestamp, Map<EventField, String> fields) {
		this.kind = kind;
		this.timestamp = timestamp;
		this.fields = fields;
	}

	/**
	 * Creates an event without fields.
	 * @param kind kind of the event
	 * @param timestamp hybrid timestamp of the actor that observed the event
	 * @return the event
	 */
	public static Event of(EventKind kind, HybridTimestamp timestamp) {
		return new Event(kind, timestamp, Map.of());
	}

	/**
	 * Returns a copy with one more field.
	 * @param field the field to add or replace
	 * @param value value of the field, stored in its string form
	 * @return the copy
	 */
	public Event with(EventField field, Object value) {
		Map<EventField, String> extended = new EnumMap<>(EventField.class);
		extended.putAll(this.fields);
		extended.put(field, String.valueOf(value));
		return new Event(this.kind, this.timestamp, Collections.unmodifiableMap(extended));
	}

	/**
	 * Returns the kind of the event.
	 * @return the kind
	 */
	public EventKind kind() {
		return this.kind;
	}

	/**
	 * Returns the time of the event.
	 * @return the hybrid timestamp
	 */
	public HybridTimestamp timestamp() {
		return this.timestamp;
	}

	/**
	 * Returns the value of a field.
	 * @param field the field to look up
	 * @return the value, empty if the event does not have the field
	 */
	public Optional<String> field(EventField field) {
		return Optional.ofNullable(this.fields.get(field));
	}

	/**
	 * Returns all fields.
	 * @return an unmodifiable map
	 */
	public Map<EventField, String> fields() {
		return this.fields;
	}

}
