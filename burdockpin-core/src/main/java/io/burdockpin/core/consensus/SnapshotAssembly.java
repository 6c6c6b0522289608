package io.burdockpin.core.consensus;

import java.io.ByteArrayOutputStream;

import io.burdockpin.core.model.Payload;

/**
 * Puts the parts of one snapshot together. Mutable; owned by one replica.
 */
final class SnapshotAssembly {

	private final MemberId sender;

	private final ConsensusMessage.SnapshotChunk first;

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	SnapshotAssembly(MemberId sender, ConsensusMessage.SnapshotChunk first) {
		this.sender = sender;
		this.first = first;
	}

	boolean continuesWith(MemberId chunkSender, ConsensusMessage.SnapshotChunk chunk) {
		return this.sender.equals(chunkSender) && this.first.term() == chunk.term()
				&& this.first.index() == chunk.index() && this.first.totalBytes() == chunk.totalBytes();
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
		return this.bytes.size() == this.first.totalBytes();
	}

	Snapshot snapshot() {
		return new Snapshot(this.first.index(), this.first.indexTerm(), this.first.membershipIndex(),
				this.first.membership(), Payload.of(this.bytes.toByteArray()));
	}

}
