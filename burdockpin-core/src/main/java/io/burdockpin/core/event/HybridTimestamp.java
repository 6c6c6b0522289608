package io.burdockpin.core.event;

import java.util.Comparator;

/**
 * Timestamp of a hybrid logical clock. Orders causally related events even if the wall
 * clocks of the hosts differ.
 *
 * @param wallMillis the highest observed wall-clock time, in milliseconds since the epoch
 * @param counter orders events with equal wall-clock time
 */
public record HybridTimestamp(long wallMillis, int counter) implements Comparable<HybridTimestamp> {

	/** The earliest timestamp. */
	public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

	private static final Comparator<HybridTimestamp> ORDER = Comparator.comparingLong(HybridTimestamp::wallMillis)
		.thenComparingInt(HybridTimestamp::counter);

	private static final int COUNTER_BITS = 16;

	private static final int COUNTER_MASK = (1 << COUNTER_BITS) - 1;

	@Override
	public int compareTo(HybridTimestamp other) {
		return ORDER.compare(this, other);
	}

	/**
	 * Packs the timestamp into 64 bits, 48 for the time and 16 for the counter.
	 * @return the packed form, which has the same order as the timestamp
	 */
	public long packed() {
		return (this.wallMillis << COUNTER_BITS) | (this.counter & COUNTER_MASK);
	}

	/**
	 * Unpacks a timestamp.
	 * @param packed the result of {@link #packed()}
	 * @return the timestamp
	 */
	public static HybridTimestamp unpack(long packed) {
		return new HybridTimestamp(packed >>> COUNTER_BITS, (int) (packed & COUNTER_MASK));
	}

}
