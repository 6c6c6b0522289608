package io.burdockpin.core.consensus;

import java.io.ByteArrayOutputStream;

import io.burdockpin.core.model.Payload;

/**
 * Reassembles a snapshot from its chunks. Mutable; owned by one replica.
 */
final class SnapshotAssembly {

	private final MemberId sender;

	private final ConsensusMessage.SnapshotChunk firstChunk;

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	SnapshotAssembly(MemberId sender, ConsensusMessage.SnapshotChunk firstChunk) {
		this.sender = sender;
		this.firstChunk = firstChunk;
	}

	boolean continuesWith(MemberId chunkSender, ConsensusMessage.SnapshotChunk chunk) {
		return this.sender.equals(chunkSender) && this.firstChunk.term() == chunk.term()
				&& this.firstChunk.index() == chunk.index() && this.firstChunk.totalBytes() == chunk.totalBytes();
	}

	void add(ConsensusMessage.SnapshotChunk chunk) {
		if (chunk.offsetBytes() == this.bytes.size()) {
			this.bytes.writeBytes(chunk.bytes().bytes());
		}
	}

	int receivedBytes() {
		return this.bytes.size();
	}

	boolean isComplete() {
		return this.bytes.size() == this.firstChunk.totalBytes();
	}

	Snapshot snapshot() {
		return new Snapshot(this.firstChunk.index(), this.firstChunk.indexTerm(), this.firstChunk.membershipIndex(),
				this.firstChunk.membership(), Payload.of(this.bytes.toByteArray()));
	}

}
