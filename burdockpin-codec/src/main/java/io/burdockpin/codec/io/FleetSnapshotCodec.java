package io.burdockpin.codec.io;

import io.burdockpin.core.state.FleetSnapshot;

/**
 * Encodes and decodes snapshots of the replicated state. Implementations are immutable.
 */
public interface FleetSnapshotCodec {

	/**
	 * Encodes a snapshot.
	 * @param snapshot the replicated state at one log index
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
