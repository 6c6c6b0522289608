package io.burdockpin.timeline.check;

import java.util.List;

import io.burdockpin.timeline.model.EventRecord;

/**
 * A promise that events show to be broken. Immutable.
 *
 * @param check the check that found it
 * @param message what happened
 * @param events the events that show it
 */
public record BrokenPromise(PromiseCheck check, String message, List<EventRecord> events) {

	public BrokenPromise {
		events = List.copyOf(events);
	}

}
