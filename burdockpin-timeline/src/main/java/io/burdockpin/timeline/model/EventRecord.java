package io.burdockpin.timeline.model;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridTimestamp;

/**
 * One line of an event file. Kinds and fields that this version does not know are kept.
 * Immutable.
 *
 * @param hlc the packed hybrid logical clock
 * @param process the process that wrote it
 * @param kind the name of the kind
 * @param fields the other fields by their names in the file
 */
public record EventRecord(long hlc, ProcessName process, String kind, Map<String, String> fields) {

	public EventRecord {
		fields = new TreeMap<>(fields);
	}

	/**
	 * Tells whether the event is of a kind.
	 * @param wanted the kind
	 * @return {@code true} if it is
	 */
	public boolean is(EventKind wanted) {
		return this.kind.equals(wanted.name());
	}

	/**
	 * Returns a field.
	 * @param field the field
	 * @return its value, if the event has it
	 */
	public Optional<String> field(EventField field) {
		return Optional.ofNullable(this.fields.get(field.jsonName()));
	}

	/**
	 * Returns a field that holds a whole number.
	 * @param field the field
	 * @return the number, if the event has the field and it is one
	 */
	public Optional<Long> number(EventField field) {
		return field(field).filter((text) -> text.matches("-?\\d{1,18}")).map(Long::valueOf);
	}

	/**
	 * Returns which incarnation of the process wrote the event.
	 * @return the process with its incarnation
	 */
	public String life() {
		return "%s/%s".formatted(this.process.host(), this.fields.getOrDefault("incarnation", "0"));
	}

	/**
	 * Returns the wall-clock part of the clock.
	 * @return milliseconds since the epoch
	 */
	public long wallMillis() {
		return HybridTimestamp.unpack(this.hlc).wallMillis();
	}

	/**
	 * Prints the event.
	 * @return one line of time, process, kind and fields
	 */
	public String text() {
		StringBuilder line = new StringBuilder();
		line.append(Instant.ofEpochMilli(this.wallMillis()))
			.append(' ')
			.append(this.process)
			.append(' ')
			.append(this.kind);
		this.fields.forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
		return line.toString();
	}

}
