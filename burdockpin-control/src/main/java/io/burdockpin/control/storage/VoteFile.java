package io.burdockpin.control.storage;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Optional;

import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.model.HostName;

/**
 * Content of the vote file.
 *
 * @param term the current term
 * @param votedFor the vote in that term; empty if none was cast
 */
record VoteFile(long term, Optional<MemberId> votedFor) {

	static final String NAME = "vote";

	byte[] encode() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream output = new DataOutputStream(bytes)) {
			output.writeLong(this.term);
			output.writeUTF(this.votedFor.map((member) -> member.host().value()).orElse(""));
			output.writeLong(this.votedFor.map(MemberId::incarnation).orElse(0L));
		}
		catch (IOException ex) {
			throw StorageException.failed("cannot encode the vote", ex);
		}
		return ChecksummedFile.encode(bytes.toByteArray());
	}

	static VoteFile decode(byte[] encoded) {
		byte[] content = ChecksummedFile.decode(NAME, encoded);
		try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(content))) {
			long term = input.readLong();
			String host = input.readUTF();
			long incarnation = input.readLong();
			return new VoteFile(term,
					host.isEmpty() ? Optional.empty() : Optional.of(new MemberId(new HostName(host), incarnation)));
		}
		catch (IOException ex) {
			throw StorageException.corrupt("file %s is too short".formatted(NAME), ex);
		}
	}

}
