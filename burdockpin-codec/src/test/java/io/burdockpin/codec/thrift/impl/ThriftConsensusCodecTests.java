package io.burdockpin.codec.thrift.impl;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.codec.exc.CodecException;
import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.ConsensusMessage;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.MemberRole;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.Snapshot;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against fields that are lost or confused in messages between control members.
 */
class ThriftConsensusCodecTests {

	private static final Membership MEMBERSHIP = new Membership(
			List.of(new Member(new MemberId(new HostName("a"), 1), MemberRole.VOTER, "127.0.0.1:7001"),
					new Member(new MemberId(new HostName("b"), -5), MemberRole.LEARNER, "127.0.0.2:7001")));

	private static final LogEntry COMMAND = new LogEntry(8, 3,
			new EntryContent.CommandContent(Payload.ofText("command")));

	private static final LogEntry CHANGE = new LogEntry(9, 4, new EntryContent.MembershipContent(MEMBERSHIP));

	private final ThriftConsensusCodec codec = new ThriftConsensusCodec();

	@ParameterizedTest
	@MethodSource("messages")
	void everyMessageIsDecodedAsItWasEncoded(ConsensusMessage message) {
		ConsensusEnvelope envelope = new ConsensusEnvelope("cluster", new MemberId(new HostName("a"), 1),
				new MemberId(new HostName("b"), Long.MIN_VALUE), 17, new HybridTimestamp(123456789L, 7), message);
		Truth.assertThat(this.codec.decode(this.codec.encode(envelope))).isEqualTo(envelope);
	}

	@Test
	void aTruncatedFrameIsRejected() {
		byte[] frame = this.codec.encode(new ConsensusEnvelope("cluster", new MemberId(new HostName("a"), 1),
				new MemberId(new HostName("b"), 2), 17, HybridTimestamp.ZERO, new ConsensusMessage.TimeoutNow(3)));
		byte[] cut = Arrays.copyOf(frame, frame.length - 3);
		Optional<CodecException> failure = Optional.empty();
		try {
			this.codec.decode(cut);
		}
		catch (CodecException ex) {
			failure = Optional.of(ex);
		}
		Truth.assertThat(failure.map(CodecException::getCode)).isEqualTo(Optional.of(ErrorCode.DECODE_FAILED));
	}

	@Test
	void contentOfLogAndSnapshotFilesIsDecodedAsItWasEncoded() {
		ThriftEntryContentCodec contentCodec = new ThriftEntryContentCodec();
		ThriftSnapshotCodec snapshotCodec = new ThriftSnapshotCodec();
		Snapshot snapshot = new Snapshot(40, 5, 12, MEMBERSHIP, Payload.ofText("state"));
		Truth.assertThat(contentCodec.decode(contentCodec.encode(COMMAND.content()))).isEqualTo(COMMAND.content());
		Truth.assertThat(contentCodec.decode(contentCodec.encode(CHANGE.content()))).isEqualTo(CHANGE.content());
		Truth.assertThat(snapshotCodec.decode(snapshotCodec.encode(snapshot))).isEqualTo(snapshot);
	}

	static List<ConsensusMessage> messages() {
		return List.of(new ConsensusMessage.VoteRequest(3, true, false, 10, 2),
				new ConsensusMessage.VoteReply(3, false, true),
				new ConsensusMessage.AppendRequest(4, 7, 3, List.of(COMMAND, CHANGE), 6, 99, 1234),
				new ConsensusMessage.AppendReply(4, true, 9, 99, 1234),
				new ConsensusMessage.SnapshotChunk(4, 40, 3, 12, MEMBERSHIP, 65536, 70000, Payload.ofText("part"), 5,
						6),
				new ConsensusMessage.SnapshotReply(4, 40, 65540, false, 5, 6), new ConsensusMessage.TimeoutNow(4),
				new ConsensusMessage.FeedReport(4,
						List.of(new ConsensusMessage.FeedConfirmation(new HostName("e1"), new DataCentre("dc1"), 31))));
	}

}
