package io.burdockpin.codec.io;

import io.burdockpin.core.consensus.Snapshot;

/**
 * Turns snapshots of the replicated log into the content of snapshot files and back.
 * Implementations are immutable.
 */
public interface SnapshotCodec {

	/**
	 * Encodes a snapshot.
	 * @param snapshot the snapshot
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
