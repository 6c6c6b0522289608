package io.burdockpin.timeline.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
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
			groupBy(events, PromiseCheck::submissionOf).forEach((request, group) -> {
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
				List<EventRecord> mayHaveRun = new RequestRuns(group).mayHaveRun();
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
			groupBy(events, PromiseCheck::requestOf).forEach((request, group) -> {
				RequestRuns runs = new RequestRuns(group);
				ofKind(group, EventKind.REQUEST_ANSWERED).stream()
					.filter((event) -> hasOutcome(event, Outcome.NOT_RUN))
					.filter((event) -> acceptances(group, event) == 1)
					.forEach(
							(event) -> runs.ranFor(event)
								.ifPresent((ran) -> broken.add(new BrokenPromise(this,
										request + " was answered NOT_RUN after an attempt that ran",
										List.of(ran, event)))));
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
				boolean applied = event.is(EventKind.CONFIGURATION_APPLIED) || event.is(EventKind.HOST_CHANGED);
				if (applied && event.number(EventField.INDEX).isPresent()) {
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
			Map<String, EventRecord> ownWithdrawals = new HashMap<>();
			for (EventRecord event : events) {
				String key = event.field(EventField.KEY).orElse("");
				String ownKey = event.process() + " " + key;
				if (event.is(EventKind.KEY_WITHDRAWN)) {
					withdrawals.putIfAbsent(key, event);
					ownWithdrawals.putIfAbsent(ownKey, event);
				}
				if (event.is(EventKind.REQUEST_ACCEPTED) && ownWithdrawals.containsKey(ownKey)) {
					broken.add(acceptedLate(key, ownWithdrawals.get(ownKey), event));
				}
				else if (event.is(EventKind.REQUEST_ACCEPTED) || event.is(EventKind.JOB_SUBMITTED)) {
					Optional.ofNullable(withdrawals.get(key))
						.filter((withdrawal) -> event.wallMillis() - withdrawal.wallMillis() > settings
							.withdrawalBoundMillis())
						.ifPresent((withdrawal) -> broken.add(acceptedLate(key, withdrawal, event)));
				}
			}
			return broken;
		}
	},

	/** No team has more running than its upper limit (P5). */
	TEAM_ABOVE_LIMIT("P5") {
		@Override
		List<BrokenPromise> find(List<EventRecord> events, CheckSettings settings) {
			Map<String, TeamUse> teams = new TreeMap<>();
			for (EventRecord event : events) {
				event.field(EventField.TEAM)
					.ifPresent((team) -> teams.computeIfAbsent(team, (name) -> new TeamUse(settings)).add(event));
				if (event.is(EventKind.PROCESS_STARTED)) {
					teams.values().forEach((team) -> team.processStarted(event));
				}
			}
			List<BrokenPromise> broken = new ArrayList<>();
			teams.forEach((team, use) -> use.aboveLimit(this, team).ifPresent(broken::add));
			return broken;
		}
	},

	/** A host belongs to exactly one pool (P2). */
	HOST_IN_TWO_POOLS("P2") {
		@Override
		List<BrokenPromise> find(List<EventRecord> events, CheckSettings settings) {
			List<BrokenPromise> broken = new ArrayList<>();
			HostHistory.of(events).forEach((host, history) -> broken.addAll(history.poolConflicts(this, host)));
			return broken;
		}
	},

	/** A drain interrupts only the jobs that it announced. */
	DRAIN_NOT_ANNOUNCED("drain") {
		@Override
		List<BrokenPromise> find(List<EventRecord> events, CheckSettings settings) {
			List<BrokenPromise> broken = new ArrayList<>();
			HostHistory.of(events)
				.forEach((host, history) -> broken.addAll(history.unannouncedInterruptions(this, host)));
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

	private static Optional<String> submissionOf(EventRecord event) {
		return requestOf(event).map((request) -> "%s %s%s".formatted(event.process(), request,
				event.field(EventField.SUBMISSION).map((number) -> ", " + event.life() + "/" + number).orElse("")));
	}

	private static long acceptances(List<EventRecord> group, EventRecord answer) {
		return ofKind(group, EventKind.REQUEST_ACCEPTED).stream()
			.filter((event) -> submissionOf(event).equals(submissionOf(answer)))
			.count();
	}

	BrokenPromise acceptedLate(String key, EventRecord withdrawal, EventRecord acceptance) {
		return new BrokenPromise(this, "key %s was accepted %d ms after its withdrawal".formatted(key,
				acceptance.wallMillis() - withdrawal.wallMillis()), List.of(withdrawal, acceptance));
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
