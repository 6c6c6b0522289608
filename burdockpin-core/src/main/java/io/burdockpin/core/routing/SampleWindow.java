package io.burdockpin.core.routing;

import java.util.Arrays;

/** Sliding window of the newest values of a series. Mutable, owned by one actor. */
final class SampleWindow {

	/** Size of the window for the attempts of a runner. */
	static final int CAPACITY = 20;

	private final long[] values;

	private int count;

	private int nextIndex;

	SampleWindow(int capacity) {
		this.values = new long[capacity];
	}

	void add(long value) {
		this.values[this.nextIndex] = value;
		this.nextIndex = (this.nextIndex + 1) % this.values.length;
		this.count = Math.min(this.values.length, this.count + 1);
	}

	int count() {
		return this.count;
	}

	double mean() {
		return Arrays.stream(this.values, 0, this.count).average().orElse(0);
	}

	long median() {
		if (this.count == 0) {
			return 0;
		}
		long[] sorted = Arrays.copyOf(this.values, this.count);
		Arrays.sort(sorted);
		return sorted[this.count / 2];
	}

}
