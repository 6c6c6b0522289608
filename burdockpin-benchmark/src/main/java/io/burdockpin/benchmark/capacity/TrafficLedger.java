package io.burdockpin.benchmark.capacity;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Bytes of each stream in each second at one process, in and out together. Mutable. */
final class TrafficLedger {

	/** The length prefix of a frame. */
	private static final int PREFIX_BYTES = 4;

	private static final long SECOND_MILLIS = 1_000;

	private final Map<TrafficStream, Long> totals = new EnumMap<>(TrafficStream.class);

	private final TreeMap<Long, Long> seconds = new TreeMap<>();

	void add(TrafficStream stream, long nowMillis, byte[] frame) {
		add(stream, nowMillis, (long) frame.length + PREFIX_BYTES);
	}

	void add(TrafficStream stream, long nowMillis, long bytes) {
		this.totals.merge(stream, bytes, Long::sum);
		this.seconds.merge(nowMillis / SECOND_MILLIS, bytes, Long::sum);
	}

	long meanBytesPerSecond() {
		return this.seconds.values().stream().mapToLong(Long::longValue).sum() / this.seconds.size();
	}

	long largestSecondBytes() {
		return this.seconds.values().stream().mapToLong(Long::longValue).max().orElse(0);
	}

	long meanBytesPerSecond(TrafficStream stream) {
		return this.totals.getOrDefault(stream, 0L) / this.seconds.size();
	}

}
