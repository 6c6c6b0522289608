package io.burdockpin.core.batch.lead.explore;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their times. Actions of the same time run in order. */
final class VirtualTime {

	private static final long START_MILLIS = 1_000_000;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));

	private long nowMillis = START_MILLIS;

	private long eventCount;

	long nowMillis() {
		return this.nowMillis;
	}

	void after(long delayMillis, Runnable action) {
		this.eventCount++;
		this.events.add(new Event(this.nowMillis + delayMillis, this.eventCount, action));
	}

	void every(long periodMillis, Runnable action) {
		after(periodMillis, () -> {
			action.run();
			every(periodMillis, action);
		});
	}

	void run(long millis) {
		long untilMillis = this.nowMillis + millis;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= untilMillis) {
			Event event = this.events.remove();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
		this.nowMillis = untilMillis;
	}

	private record Event(long atMillis, long number, Runnable action) {

	}

}
