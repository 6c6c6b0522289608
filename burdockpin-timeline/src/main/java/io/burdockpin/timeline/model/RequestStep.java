package io.burdockpin.timeline.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;

/**
 * The steps of a request for which one line of an event file may stand, in the order in
 * which they happened. An entry host writes a step in a line of its own only if a check
 * needs it before the next one (section 11 of the design page).
 */
enum RequestStep {

	/** The request passed the admission checks. */
	ACCEPTED(EventKind.REQUEST_ACCEPTED,
			Set.of(EventField.ATTEMPT, EventField.RUNNER, EventField.HOST, EventField.OUTCOME)) {
		@Override
		Optional<Long> hlcIn(EventRecord line) {
			return line.number(EventField.ACCEPTED);
		}
	},

	/** An attempt was sent. */
	STARTED(EventKind.ATTEMPT_STARTED, Set.of(EventField.QUEUE, EventField.KEY, EventField.OUTCOME)) {
		@Override
		Optional<Long> hlcIn(EventRecord line) {
			return line.is(EventKind.ATTEMPT_STARTED) ? Optional.of(line.hlc()) : line.number(EventField.STARTED);
		}
	},

	/** The attempt ended. */
	ENDED(EventKind.ATTEMPT_ENDED, Set.of(EventField.QUEUE, EventField.KEY, EventField.RUNNER)) {
		@Override
		Optional<Long> hlcIn(EventRecord line) {
			boolean ended = line.is(EventKind.ATTEMPT_ENDED)
					|| (line.is(EventKind.REQUEST_ANSWERED) && line.field(EventField.ATTEMPT).isPresent());
			return ended ? Optional.of(line.hlc()) : Optional.empty();
		}
	},

	/** The request was answered. */
	ANSWERED(EventKind.REQUEST_ANSWERED,
			Set.of(EventField.QUEUE, EventField.KEY, EventField.ATTEMPT, EventField.RUNNER, EventField.HOST)) {
		@Override
		Optional<Long> hlcIn(EventRecord line) {
			return line.is(EventKind.REQUEST_ANSWERED) ? Optional.of(line.hlc()) : Optional.empty();
		}
	};

	private final EventKind kind;

	private final Set<EventField> fieldsOfOthers;

	RequestStep(EventKind kind, Set<EventField> fieldsOfOthers) {
		this.kind = kind;
		this.fieldsOfOthers = fieldsOfOthers;
	}

	/**
	 * Splits a line into the events it stands for.
	 * @param line an event as it stands in the file
	 * @return its steps, the last one of its own kind, or the event itself if it stands
	 * for no other
	 */
	static List<EventRecord> stepsOf(EventRecord line) {
		List<EventRecord> steps = new ArrayList<>();
		for (RequestStep step : values()) {
			step.hlcIn(line).ifPresent((hlc) -> steps.add(step.event(line, hlc)));
		}
		boolean isMerged = steps.size() > 1 && steps.get(steps.size() - 1).kind().equals(line.kind());
		return isMerged ? steps : List.of(line);
	}

	abstract Optional<Long> hlcIn(EventRecord line);

	private EventRecord event(EventRecord line, long hlc) {
		Map<String, String> fields = new TreeMap<>(line.fields());
		fields.remove(EventField.ACCEPTED.jsonName());
		fields.remove(EventField.STARTED.jsonName());
		this.fieldsOfOthers.forEach((field) -> fields.remove(field.jsonName()));
		return new EventRecord(hlc, line.process(), this.kind.name(), fields);
	}

}
