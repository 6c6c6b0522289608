package io.burdockpin.codec.io;

import io.burdockpin.core.consensus.Snapshot;

/**
 * Encodes snapshots of the replicated log as the content of snapshot files, and decodes
 * them. Implementations are immutable.
 */
public interface SnapshotCodec {

	/**
	 * Encodes a snapshot.
	 * @param snapshot the state machine and the members at one log index
	 * @return the content of a snapshot file
	 */
	byte[] encode(Snapshot snapshot);

	/**
	 * Decodes a snapshot.
	 * @param bytes the content of a snapshot file
	 * @return the snapshot
	 * @throws io.burdockpin.core.exc.BurdockException with code {@code DECODE_FAILED} if
	 * the bytes are malformed
	 */
	Snapshot decode(byte[] bytes);

}
