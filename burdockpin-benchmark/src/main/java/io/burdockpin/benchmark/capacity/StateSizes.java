package io.burdockpin.benchmark.capacity;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

import io.burdockpin.codec.io.FleetSnapshotCodec;
import io.burdockpin.core.state.FleetSnapshot;
import io.burdockpin.core.state.FleetState;

/** Bytes of the replicated state on disk and in the heap. Stateless. */
final class StateSizes {

	private static final int COLLECTIONS = 3;

	private final FleetSnapshotCodec codec;

	StateSizes(FleetSnapshotCodec codec) {
		this.codec = codec;
	}

	List<Measurement> measure(FleetSize size) {
		byte[] encoded = this.codec.encode(SampleFleet.create(size));
		List<Measurement> measurements = new ArrayList<>();
		measurements.add(new Measurement("state snapshot", size.toString(), encoded.length / 1024.0, "KiB"));
		measurements.add(new Measurement("state in the heap", size.toString(), heapKibibytes(encoded), "KiB"));
		return measurements;
	}

	private double heapKibibytes(byte[] encoded) {
		long before = usedHeapBytes();
		FleetState state = FleetState.restore(this.codec.decode(encoded));
		long after = usedHeapBytes();
		FleetSnapshot keepsStateAlive = state.snapshot();
		return (keepsStateAlive.index() > 0) ? (after - before) / 1024.0 : 0;
	}

	private static long usedHeapBytes() {
		for (int round = 0; round < COLLECTIONS; round++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

}
