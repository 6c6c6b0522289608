package io.burdockpin.codec.cbor;

import io.burdockpin.core.batch.state.BatchSnapshot;

/** Snapshots of the batch scheduler's state. Immutable. */
public final class CborBatchSnapshotCodec extends CborCodecBase<BatchSnapshot> {

	public CborBatchSnapshotCodec() {
		super(BatchSnapshot.class);
	}

}
