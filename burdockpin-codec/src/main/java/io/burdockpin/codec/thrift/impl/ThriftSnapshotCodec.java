package io.burdockpin.codec.thrift.impl;

import io.burdockpin.codec.io.SnapshotCodec;
import io.burdockpin.core.consensus.Snapshot;

/** Thrift codec for snapshots of the replicated log. Immutable. */
public final class ThriftSnapshotCodec extends
		ThriftCodecBase<Snapshot, io.burdockpin.codec.thrift.generated.consensus.Snapshot> implements SnapshotCodec {

	public ThriftSnapshotCodec() {
		super(Snapshot.class, io.burdockpin.codec.thrift.generated.consensus.Snapshot.class);
	}

}
