package io.burdockpin.codec.thrift.impl;

import io.burdockpin.codec.io.FleetSnapshotCodec;
import io.burdockpin.core.state.FleetSnapshot;

/** Thrift codec for snapshots of the replicated state. Immutable. */
public final class ThriftFleetSnapshotCodec
		extends ThriftCodecBase<FleetSnapshot, io.burdockpin.codec.thrift.generated.state.FleetSnapshot>
		implements FleetSnapshotCodec {

	public ThriftFleetSnapshotCodec() {
		super(FleetSnapshot.class, io.burdockpin.codec.thrift.generated.state.FleetSnapshot.class);
	}

}
