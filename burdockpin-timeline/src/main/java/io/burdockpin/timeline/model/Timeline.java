package io.burdockpin.timeline.model;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Events of all processes in the order of the hybrid logical clock. Events of one process
 * with the same clock keep the order of their file. Immutable.
 *
 * @param events the events
 */
public record Timeline(List<EventRecord> events) {

	public Timeline {
		events = events.stream()
			.sorted(Comparator.comparingLong(EventRecord::hlc).thenComparing(EventRecord::process))
			.toList();
	}

	/**
	 * Keeps some of the events.
	 * @param filter which to keep
	 * @return another time line
	 */
	public Timeline filter(Predicate<EventRecord> filter) {
		return new Timeline(this.events.stream().filter(filter).toList());
	}

	/**
	 * Returns the processes.
	 * @return each once, by data centre, program and host
	 */
	public List<ProcessName> processes() {
		return List.copyOf(new TreeSet<>(this.events.stream().map(EventRecord::process).toList()));
	}

}
