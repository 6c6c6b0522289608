package io.burdockpin.timeline.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;

import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.timeline.model.EventRecord;

/**
 * What one team had running at each moment: attempts on runners and placed jobs. Work
 * whose end was not recorded counts until the next start of its process, jobs until the
 * end of the time line. Mutable while it is built.
 */
final class TeamUse {

	private final CheckSettings settings;

	private final Map<String, Run> runs = new LinkedHashMap<>();

	private final TreeMap<Long, Long> limits = new TreeMap<>();

	TeamUse(CheckSettings settings) {
		this.settings = settings;
	}

	void add(EventRecord event) {
		if (event.is(EventKind.CONFIGURATION_APPLIED)) {
			event.number(EventField.LIMIT).ifPresent((limit) -> this.limits.putIfAbsent(event.wallMillis(), limit));
		}
		else if (event.is(EventKind.ATTEMPT_STARTED) || event.is(EventKind.ATTEMPT_ENDED)) {
			// The entry host that accepted the request holds the token.
			if (event.field(EventField.FORWARDED_BY).isEmpty()) {
				event.field(EventField.ATTEMPT)
					.ifPresent((attempt) -> record(event.life() + "/" + attempt, event,
							event.is(EventKind.ATTEMPT_STARTED)));
			}
		}
		else if (event.is(EventKind.JOB_PLACED) || event.is(EventKind.JOB_ENDED)
				|| event.is(EventKind.JOB_INTERRUPTED)) {
			event.field(EventField.JOB)
				.ifPresent((job) -> record(job + "/" + event.field(EventField.LEASE_EPOCH).orElse(""), event,
						event.is(EventKind.JOB_PLACED)));
		}
	}

	void processStarted(EventRecord start) {
		this.runs.values()
			.stream()
			.filter((run) -> run.started.isPresent() && run.ended.isEmpty())
			.filter((run) -> !run.started.get().is(EventKind.JOB_PLACED))
			.filter((run) -> run.started.get().process().equals(start.process()))
			.forEach((run) -> run.ended = Optional.of(start));
	}

	Optional<BrokenPromise> aboveLimit(PromiseCheck check, String team) {
		List<Run> started = this.runs.values()
			.stream()
			.filter((run) -> run.started.isPresent())
			.sorted(Comparator.comparingLong((run) -> run.started.get().wallMillis()))
			.toList();
		PriorityQueue<Run> running = new PriorityQueue<>(Comparator.comparingLong(Run::endMillis));
		for (Run run : started) {
			EventRecord start = run.started.get();
			long latestMillis = start.wallMillis() + this.settings.clockDifferenceMillis();
			while (!running.isEmpty() && running.peek().endMillis() <= latestMillis) {
				running.remove();
			}
			running.add(run);
			Optional<Long> limit = limitAt(start.wallMillis());
			if (limit.isPresent() && running.size() > limit.get()) {
				List<EventRecord> events = new ArrayList<>(
						running.stream().map((other) -> other.started.get()).toList());
				return Optional.of(new BrokenPromise(check,
						"team %s had %d running, its limit is %d".formatted(team, running.size(), limit.get()),
						events));
			}
		}
		return Optional.empty();
	}

	// helpers

	private void record(String name, EventRecord event, boolean start) {
		Run run = this.runs.computeIfAbsent(name, (key) -> new Run());
		if (start) {
			run.started = run.started.or(() -> Optional.of(event));
		}
		else {
			run.ended = run.ended.or(() -> Optional.of(event));
		}
	}

	// A raised limit may reach the entry hosts before the member that recorded it, as
	// their clocks show it; a lowered one needs the tokens that are still out.
	private Optional<Long> limitAt(long millis) {
		long fromMillis = millis - this.settings.limitSettleMillis();
		long toMillis = millis + this.settings.clockDifferenceMillis();
		Map<Long, Long> inForce = new HashMap<>(this.limits.subMap(fromMillis, true, toMillis, true));
		Optional.ofNullable(this.limits.floorEntry(fromMillis))
			.ifPresent((entry) -> inForce.put(entry.getKey(), entry.getValue()));
		return inForce.values().stream().max(Comparator.naturalOrder());
	}

	private static final class Run {

		private Optional<EventRecord> started = Optional.empty();

		private Optional<EventRecord> ended = Optional.empty();

		long endMillis() {
			return this.ended.map(EventRecord::wallMillis).orElse(Long.MAX_VALUE);
		}

	}

}
