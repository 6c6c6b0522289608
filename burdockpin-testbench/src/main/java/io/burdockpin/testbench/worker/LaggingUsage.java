package io.burdockpin.testbench.worker;

import java.util.ArrayDeque;
import java.util.Deque;

import io.burdockpin.codec.json.WorkerAnnouncement.UsageDocument;

/** Reports what was used some time ago, as workers do. Mutable; owned by one actor. */
final class LaggingUsage {

	private final long lagMillis;

	private final Deque<Sample> samples = new ArrayDeque<>();

	private UsageDocument reported = new UsageDocument(0, 0, 0);

	LaggingUsage(long lagMillis) {
		this.lagMillis = lagMillis;
	}

	UsageDocument sample(UsageDocument usage, long nowMillis) {
		this.samples.add(new Sample(nowMillis, usage));
		while (!this.samples.isEmpty() && this.samples.peek().atMillis() <= nowMillis - this.lagMillis) {
			this.reported = this.samples.remove().usage();
		}
		return this.reported;
	}

	private record Sample(long atMillis, UsageDocument usage) {

	}

}
