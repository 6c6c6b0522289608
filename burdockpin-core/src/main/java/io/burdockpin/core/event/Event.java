package io.burdockpin.core.event;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * One event of the time line. Immutable.
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
	 * @param kind what happened
	 * @param timestamp when, by the clock of the actor that saw it
	 * @return the event
	 */
	public static Event of(EventKind kind, HybridTimestamp timestamp) {
		return new Event(kind, timestamp, Map.of());
	}

	/**
	 * Returns a copy with one more field.
	 * @param field the field
	 * @param value its value; the text form is kept
	 * @return the copy
	 */
	public Event with(EventField field, Object value) {
		Map<EventField, String> extended = new EnumMap<>(EventField.class);
		extended.putAll(this.fields);
		extended.put(field, String.valueOf(value));
		return new Event(this.kind, this.timestamp, Collections.unmodifiableMap(extended));
	}

	/**
	 * Returns what happened.
	 * @return the kind
	 */
	public EventKind kind() {
		return this.kind;
	}

	/**
	 * Returns when it happened.
	 * @return the hybrid timestamp
	 */
	public HybridTimestamp timestamp() {
		return this.timestamp;
	}

	/**
	 * Returns a field.
	 * @param field the field
	 * @return its value, if the event has the field
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
