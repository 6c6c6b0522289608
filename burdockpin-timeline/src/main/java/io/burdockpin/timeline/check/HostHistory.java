package io.burdockpin.timeline.check;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.model.HostState;
import io.burdockpin.timeline.model.EventRecord;

/**
 * What the control members recorded of one host, by log index. The log gives one order
 * whatever the clocks show. Mutable while it is built.
 */
final class HostHistory {

	private final TreeMap<Long, List<EventRecord>> changes = new TreeMap<>();

	private final List<EventRecord> statements = new ArrayList<>();

	private final TreeMap<Long, EventRecord> placements = new TreeMap<>();

	private final TreeMap<Long, EventRecord> interruptions = new TreeMap<>();

	void add(EventRecord event) {
		Optional<Long> index = event.number(EventField.INDEX);
		if (event.is(EventKind.DRAIN_ANNOUNCED)) {
			this.statements.add(event);
		}
		else if (event.is(EventKind.HOST_CHANGED)) {
			index.ifPresent((at) -> this.changes.computeIfAbsent(at, (key) -> new ArrayList<>()).add(event));
		}
		else if (event.is(EventKind.JOB_PLACED)) {
			index.ifPresent((at) -> this.placements.putIfAbsent(at, event));
		}
		else if (event.is(EventKind.JOB_INTERRUPTED)) {
			index.ifPresent((at) -> this.interruptions.putIfAbsent(at, event));
		}
	}

	List<BrokenPromise> poolConflicts(PromiseCheck check, String host) {
		List<BrokenPromise> broken = new ArrayList<>();
		this.changes.forEach((index, events) -> {
			Set<String> pools = pools(events);
			if (pools.size() > 1) {
				broken.add(new BrokenPromise(check, "host %s is in pools %s at index %d".formatted(host, pools, index),
						events));
			}
		});
		this.placements.forEach((index, placement) -> before(index).filter((change) -> isElsewhere(change, placement))
			.ifPresent((change) -> broken.add(new BrokenPromise(check,
					"job %s of pool %s was placed on host %s, which is in pool %s".formatted(
							placement.field(EventField.JOB).orElse("-"), placement.field(EventField.POOL).orElse("-"),
							host, change.field(EventField.POOL).orElse("-")),
					List.of(change, placement)))));
		return broken;
	}

	List<BrokenPromise> unannouncedInterruptions(PromiseCheck check, String host) {
		List<BrokenPromise> broken = new ArrayList<>();
		this.interruptions.forEach((index, interruption) -> before(index).filter(HostHistory::isCampaignDrain)
			.filter((drain) -> !isAnnounced(drain, interruption))
			.ifPresent((drain) -> broken.add(new BrokenPromise(check,
					"job %s was interrupted on host %s, and the drain for campaign %s had not announced it".formatted(
							interruption.field(EventField.JOB).orElse("-"), host,
							drain.field(EventField.CAMPAIGN).orElse("-")),
					List.of(drain, interruption)))));
		return broken;
	}

	// helpers

	private Optional<EventRecord> before(long index) {
		return Optional.ofNullable(this.changes.lowerEntry(index)).map((entry) -> entry.getValue().get(0));
	}

	private static Set<String> pools(List<EventRecord> events) {
		return events.stream()
			.map((event) -> event.field(EventField.POOL))
			.flatMap(Optional::stream)
			.collect(Collectors.toCollection(TreeSet::new));
	}

	private static boolean isElsewhere(EventRecord change, EventRecord placement) {
		Optional<String> pool = placement.field(EventField.POOL);
		return pool.isPresent() && !pool.equals(change.field(EventField.POOL));
	}

	private static boolean isCampaignDrain(EventRecord change) {
		return change.field(EventField.CAMPAIGN).isPresent()
				&& change.field(EventField.STATE).filter(HostState.DRAINING.name()::equals).isPresent();
	}

	// The leader records a statement before it proposes the drain, with the same clock or
	// one that an earlier message has set.
	private boolean isAnnounced(EventRecord drain, EventRecord interruption) {
		String job = interruption.field(EventField.JOB).orElse("");
		return this.statements.stream()
			.filter((statement) -> statement.field(EventField.CAMPAIGN).equals(drain.field(EventField.CAMPAIGN)))
			.filter((statement) -> statement.hlc() < interruption.hlc())
			.flatMap((statement) -> Arrays.stream(statement.field(EventField.JOBS).orElse("").split(" ")))
			.anyMatch(job::equals);
	}

	static Map<String, HostHistory> of(List<EventRecord> events) {
		Map<String, HostHistory> histories = new TreeMap<>();
		for (EventRecord event : events) {
			if (event.is(EventKind.HOST_CHANGED) || event.is(EventKind.DRAIN_ANNOUNCED)
					|| event.is(EventKind.JOB_PLACED) || event.is(EventKind.JOB_INTERRUPTED)) {
				event.field(EventField.HOST)
					.ifPresent((host) -> histories.computeIfAbsent(host, (name) -> new HostHistory()).add(event));
			}
		}
		return histories;
	}

}
