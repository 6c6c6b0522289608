package io.burdockpin.codec.cbor;

import io.burdockpin.core.batch.state.BatchSnapshot;

/** CBOR codec for snapshots of the batch scheduler. Immutable. */
public final class CborBatchSnapshotCodec extends CborCodecBase<BatchSnapshot> {

	public CborBatchSnapshotCodec() {
		super(BatchSnapshot.class);
	}

}
