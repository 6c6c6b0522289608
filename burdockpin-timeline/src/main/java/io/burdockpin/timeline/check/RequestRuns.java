package io.burdockpin.timeline.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.timeline.model.EventRecord;

/**
 * The attempts of one request identifier on all entry hosts. A forwarded attempt is
 * recorded by two entry hosts and counts once. Does not depend on the order of the
 * events. Mutable while it is built.
 */
final class RequestRuns {

	private final Map<String, List<EventRecord>> attempts = new LinkedHashMap<>();

	RequestRuns(List<EventRecord> events) {
		for (EventRecord event : events) {
			if (event.is(EventKind.ATTEMPT_STARTED) || event.is(EventKind.ATTEMPT_ENDED)) {
				this.attempts.computeIfAbsent(attemptOf(event), (name) -> new ArrayList<>()).add(event);
			}
		}
	}

	/**
	 * Returns the attempts that may have run and do not belong to a repeatable request.
	 * An attempt without an end may have run, because its process may have been killed.
	 * @return one event of each
	 */
	List<EventRecord> mayHaveRun() {
		return this.attempts.values()
			.stream()
			.filter((attempt) -> attempt.stream().noneMatch(RequestRuns::isRepeatable))
			.map(RequestRuns::evidence)
			.flatMap(Optional::stream)
			.toList();
	}

	/**
	 * Looks for an attempt of one submission that may have run.
	 * @param answer the answer to the submission
	 * @return an event that shows the run
	 */
	Optional<EventRecord> ranFor(EventRecord answer) {
		return this.attempts.values()
			.stream()
			.filter((attempt) -> attempt.stream().anyMatch((event) -> isSameSubmission(event, answer)))
			.flatMap(List::stream)
			.filter((event) -> event.is(EventKind.ATTEMPT_ENDED) && !hasOutcome(event, Outcome.NOT_RUN))
			.filter((event) -> isSameSubmission(event, answer) || hasOutcome(event, Outcome.RAN))
			.findFirst();
	}

	// helpers

	private static Optional<EventRecord> evidence(List<EventRecord> attempt) {
		List<EventRecord> ends = attempt.stream().filter((event) -> event.is(EventKind.ATTEMPT_ENDED)).toList();
		return ends.isEmpty() ? Optional.of(attempt.get(0))
				: ends.stream().filter((event) -> !hasOutcome(event, Outcome.NOT_RUN)).findFirst();
	}

	private static boolean isSameSubmission(EventRecord event, EventRecord answer) {
		return event.field(EventField.FORWARDED_BY).isEmpty() && event.process().equals(answer.process())
				&& event.life().equals(answer.life())
				&& event.field(EventField.SUBMISSION).equals(answer.field(EventField.SUBMISSION));
	}

	private String attemptOf(EventRecord event) {
		return event.field(EventField.FORWARDED_BY)
			.or(() -> event.field(EventField.ATTEMPT).map((attempt) -> event.life() + "/" + attempt))
			.orElseGet(() -> "unnamed " + this.attempts.size());
	}

	private static boolean isRepeatable(EventRecord event) {
		return event.field(EventField.REPEATABLE).filter("true"::equals).isPresent();
	}

	private static boolean hasOutcome(EventRecord event, Outcome outcome) {
		return event.field(EventField.OUTCOME).filter(outcome.name()::equals).isPresent();
	}

}
