package io.burdockpin.codec.io;

import io.burdockpin.core.state.FleetSnapshot;

/** Turns snapshots of the state into bytes and back. Implementations are immutable. */
public interface FleetSnapshotCodec {

	/**
	 * Encodes a snapshot.
	 * @param snapshot the snapshot
	 * @return the content of a snapshot file
	 */
	byte[] encode(FleetSnapshot snapshot);

	/**
	 * Decodes a snapshot.
	 * @param bytes the content of a snapshot file
	 * @return the snapshot
	 * @throws io.burdockpin.core.exc.BurdockException with code {@code DECODE_FAILED} if
	 * the bytes are malformed
	 */
	FleetSnapshot decode(byte[] bytes);

}
