package io.burdockpin.timeline.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.timeline.model.EventRecord;
import io.burdockpin.timeline.model.ProcessName;

/** Finds broken promises in events that are in causal order. */
public enum PromiseCheck {

	/** One accepted request gets one answer (P6). */
	ANSWERED_TWICE("P6") {
		@Override
		List<BrokenPromise> find(List<EventRecord> events, CheckSettings settings) {
			List<BrokenPromise> broken = new ArrayList<>();
			groupBy(events, (event) -> requestOf(event).map((request) -> event.process() + " " + request))
				.forEach((request, group) -> {
					List<EventRecord> accepted = ofKind(group, EventKind.REQUEST_ACCEPTED);
					List<EventRecord> answered = ofKind(group, EventKind.REQUEST_ANSWERED);
					if (!accepted.isEmpty() && answered.size() > accepted.size()) {
						broken.add(new BrokenPromise(this, "%s was accepted %d times and answered %d times"
							.formatted(request, accepted.size(), answered.size()), answered));
					}
				});
			return broken;
		}
	},

	/** A request that is not repeatable runs at most once (P8). */
	RAN_TWICE("P8") {
		@Override
		List<BrokenPromise> find(List<EventRecord> events, CheckSettings settings) {
			List<BrokenPromise> broken = new ArrayList<>();
			groupBy(events, PromiseCheck::requestOf).forEach((request, group) -> {
				List<EventRecord> mayHaveRun = ofKind(group, EventKind.ATTEMPT_ENDED).stream()
					.filter((event) -> !hasOutcome(event, Outcome.NOT_RUN))
					.toList();
				if (isNotRepeatable(group) && mayHaveRun.size() > 1) {
					broken.add(new BrokenPromise(this,
							"%s is not repeatable and %d attempts may have run".formatted(request, mayHaveRun.size()),
							mayHaveRun));
				}
			});
			return broken;
		}
	},

	/** A refusal that says "not run" is true (P7). */
	RAN_BUT_REFUSED("P7") {
		@Override
		List<BrokenPromise> find(List<EventRecord> events, CheckSettings settings) {
			List<BrokenPromise> broken = new ArrayList<>();
			groupBy(events, (event) -> requestOf(event).map((request) -> event.process() + " " + request))
				.forEach((request, group) -> {
					Optional<EventRecord> ran = ofKind(group, EventKind.ATTEMPT_ENDED).stream()
						.filter((event) -> hasOutcome(event, Outcome.RAN))
						.findFirst();
					ofKind(group, EventKind.REQUEST_ANSWERED).stream()
						.filter((event) -> hasOutcome(event, Outcome.NOT_RUN))
						.filter((event) -> ran.filter((attempt) -> attempt.hlc() < event.hlc()).isPresent())
						.filter((event) -> ofKind(group, EventKind.REQUEST_ACCEPTED).size() == 1)
						.findFirst()
						.ifPresent((event) -> broken
							.add(new BrokenPromise(this, request + " was answered NOT_RUN after an attempt that ran",
									List.of(ran.get(), event))));
				});
			return broken;
		}
	},

	/** A job is placed again only after its older placement has ended. */
	PLACED_TWICE("lease") {
		@Override
		List<BrokenPromise> find(List<EventRecord> events, CheckSettings settings) {
			List<BrokenPromise> broken = new ArrayList<>();
			groupBy(events, (event) -> event.field(EventField.JOB))
				.forEach((job, group) -> broken.addAll(new PlacementHistory(group).overlaps(this, job)));
			return broken;
		}
	},

	/** A term has one leader. */
	TWO_LEADERS("agreement") {
		@Override
		List<BrokenPromise> find(List<EventRecord> events, CheckSettings settings) {
			List<BrokenPromise> broken = new ArrayList<>();
			groupBy(ofKind(events, EventKind.LEADER_ELECTED), (event) -> event.field(EventField.TERM))
				.forEach((term, group) -> {
					if (group.stream().map(EventRecord::process).distinct().count() > 1) {
						broken.add(new BrokenPromise(this, "term %s has more than one leader".formatted(term), group));
					}
				});
			return broken;
		}
	},

	/** A process never goes back to an older configuration (P11). */
	INDEX_WENT_BACK("P11") {
		@Override
		List<BrokenPromise> find(List<EventRecord> events, CheckSettings settings) {
			List<BrokenPromise> broken = new ArrayList<>();
			Map<ProcessName, EventRecord> newest = new HashMap<>();
			for (EventRecord event : events) {
				if (event.is(EventKind.PROCESS_STARTED) && replaysItsLog(event)) {
					newest.remove(event.process());
				}
				if (event.is(EventKind.CONFIGURATION_APPLIED) && event.number(EventField.INDEX).isPresent()) {
					EventRecord before = newest.get(event.process());
					if (before != null && index(event) < index(before)) {
						broken.add(new BrokenPromise(this, "%s went back from index %d to %d".formatted(event.process(),
								index(before), index(event)), List.of(before, event)));
					}
					newest.put(event.process(), event);
				}
			}
			return broken;
		}
	},

	/** A withdrawn key stops working within seconds (P4). */
	KEY_ACCEPTED_LATE("P4") {
		@Override
		List<BrokenPromise> find(List<EventRecord> events, CheckSettings settings) {
			List<BrokenPromise> broken = new ArrayList<>();
			Map<String, EventRecord> withdrawals = new HashMap<>();
			for (EventRecord event : events) {
				Optional<String> key = event.field(EventField.KEY);
				if (event.is(EventKind.KEY_WITHDRAWN)) {
					key.ifPresent((hash) -> withdrawals.putIfAbsent(hash, event));
				}
				if (event.is(EventKind.REQUEST_ACCEPTED)) {
					key.map(withdrawals::get)
						.filter((withdrawal) -> event.wallMillis() - withdrawal.wallMillis() > settings
							.withdrawalBoundMillis())
						.ifPresent(
								(withdrawal) -> broken.add(new BrokenPromise(this,
										"key %s was accepted %d ms after its withdrawal".formatted(key.orElseThrow(),
												event.wallMillis() - withdrawal.wallMillis()),
										List.of(withdrawal, event))));
				}
			}
			return broken;
		}
	},

	/** A process has seen one of its own rules broken. */
	REPORTED("invariant") {
		@Override
		List<BrokenPromise> find(List<EventRecord> events, CheckSettings settings) {
			return ofKind(events, EventKind.INVARIANT_BROKEN).stream()
				.map((event) -> new BrokenPromise(this, event.field(EventField.DETAIL).orElse("no detail"),
						List.of(event)))
				.toList();
		}
	};

	private final String promise;

	PromiseCheck(String promise) {
		this.promise = promise;
	}

	/**
	 * Returns the promise that the check is about.
	 * @return its id in the design page, or a word
	 */
	public String promise() {
		return this.promise;
	}

	/**
	 * Looks for broken promises of all kinds.
	 * @param events the events in causal order
	 * @param settings the bounds
	 * @return what was found, in the order of the checks
	 */
	public static List<BrokenPromise> findAll(List<EventRecord> events, CheckSettings settings) {
		List<BrokenPromise> broken = new ArrayList<>();
		for (PromiseCheck check : values()) {
			broken.addAll(check.find(events, settings));
		}
		return broken;
	}

	abstract List<BrokenPromise> find(List<EventRecord> events, CheckSettings settings);

	private static Optional<String> requestOf(EventRecord event) {
		return event.field(EventField.REQUEST)
			.map((request) -> "request %s of team %s".formatted(request, event.field(EventField.TEAM).orElse("-")));
	}

	private static boolean isNotRepeatable(List<EventRecord> group) {
		return group.stream()
			.anyMatch((event) -> event.field(EventField.REPEATABLE).filter("false"::equals).isPresent());
	}

	private static boolean hasOutcome(EventRecord event, Outcome outcome) {
		return event.field(EventField.OUTCOME).filter(outcome.name()::equals).isPresent();
	}

	private static long index(EventRecord event) {
		return event.number(EventField.INDEX).orElseThrow();
	}

	// A control member applies its log from the last snapshot on when it starts.
	private static boolean replaysItsLog(EventRecord event) {
		return event.process().program().equals("burdock-control");
	}

	private static List<EventRecord> ofKind(List<EventRecord> events, EventKind kind) {
		return events.stream().filter((event) -> event.is(kind)).toList();
	}

	private static Map<String, List<EventRecord>> groupBy(List<EventRecord> events,
			Function<EventRecord, Optional<String>> key) {
		Map<String, List<EventRecord>> groups = new LinkedHashMap<>();
		for (EventRecord event : events) {
			key.apply(event)
				.ifPresent((value) -> groups.computeIfAbsent(value, (name) -> new ArrayList<>()).add(event));
		}
		return groups;
	}

}
