package io.burdockpin.timeline.model;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import io.burdockpin.core.event.EventField;

/**
 * Which events to show. Empty parts match everything. Immutable.
 *
 * @param fields wanted values of fields
 * @param host the host of the process or in the event
 * @param kinds names of kinds
 * @param fromMillis earliest wall-clock time
 * @param toMillis latest wall-clock time
 */
public record EventFilter(Map<EventField, String> fields, Optional<String> host, List<String> kinds, long fromMillis,
		long toMillis) implements Predicate<EventRecord> {

	public EventFilter {
		fields = new TreeMap<>(fields);
		kinds = List.copyOf(kinds);
	}

	@Override
	public boolean test(EventRecord event) {
		return matchesFields(event) && matchesHost(event) && matchesKind(event) && event.wallMillis() >= this.fromMillis
				&& event.wallMillis() <= this.toMillis;
	}

	private boolean matchesFields(EventRecord event) {
		return this.fields.entrySet()
			.stream()
			.allMatch((wanted) -> event.field(wanted.getKey()).filter(wanted.getValue()::equals).isPresent());
	}

	private boolean matchesHost(EventRecord event) {
		return this.host.isEmpty() || event.process().host().equals(this.host.get())
				|| event.field(EventField.HOST).equals(this.host);
	}

	private boolean matchesKind(EventRecord event) {
		return this.kinds.isEmpty() || this.kinds.contains(event.kind());
	}

}
