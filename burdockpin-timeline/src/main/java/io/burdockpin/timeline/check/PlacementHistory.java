package io.burdockpin.timeline.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.timeline.model.EventRecord;

/**
 * The placements of one job by lease epoch. Several control members record the same
 * placement; the first record of each counts. Mutable while it is built.
 */
final class PlacementHistory {

	private final TreeMap<Long, EventRecord> placed = new TreeMap<>();

	private final Map<Long, EventRecord> ended = new TreeMap<>();

	PlacementHistory(List<EventRecord> events) {
		events.forEach(this::add);
	}

	List<BrokenPromise> overlaps(PromiseCheck check, String job) {
		List<BrokenPromise> broken = new ArrayList<>();
		this.placed.forEach((epoch, placement) -> {
			Map.Entry<Long, EventRecord> earlier = this.placed.lowerEntry(epoch);
			if (earlier != null && !endedBefore(earlier.getKey(), placement)) {
				broken.add(new BrokenPromise(check, "job %s was placed under epoch %d before epoch %d had ended"
					.formatted(job, epoch, earlier.getKey()), List.of(earlier.getValue(), placement)));
			}
		});
		return broken;
	}

	private void add(EventRecord event) {
		Optional<Long> epoch = event.number(EventField.LEASE_EPOCH);
		if (event.is(EventKind.JOB_PLACED)) {
			epoch.ifPresent((number) -> this.placed.putIfAbsent(number, event));
		}
		else if (event.is(EventKind.JOB_INTERRUPTED) || event.is(EventKind.JOB_ENDED)) {
			epoch.or(() -> Optional.ofNullable(this.placed.isEmpty() ? null : this.placed.lastKey()))
				.ifPresent((number) -> this.ended.putIfAbsent(number, event));
		}
	}

	private boolean endedBefore(long epoch, EventRecord placement) {
		EventRecord end = this.ended.get(epoch);
		return end != null && end.hlc() < placement.hlc();
	}

}
