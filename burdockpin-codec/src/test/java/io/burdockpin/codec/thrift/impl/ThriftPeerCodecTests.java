package io.burdockpin.codec.thrift.impl;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.codec.exc.CodecException;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.membership.PeerEnvelope;
import io.burdockpin.core.membership.PeerMessage;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.ConfigurationSnapshot;
import org.junit.jupiter.api.Test;

/** Guards against fields that are lost in messages between entry hosts. */
class ThriftPeerCodecTests {

	private static final List<PeerMessage> MESSAGES = List.of(
			new PeerMessage.PeerStatusChange(4, true, 7,
					List.of(new PeerMessage.QueueStatus(new QueueName("quotes"), 8, 3, 2, 40)),
					List.of(new QueueName("orders"))),
			new PeerMessage.PeerStatus(3, new DataCentre("dc-1"), "127.1.0.2:80", true, 7,
					List.of(new PeerMessage.QueueStatus(new QueueName("quotes"), 8, 3, 2, 40)), 81),
			new PeerMessage.ForwardRequest(Long.MAX_VALUE, new QueueName("quotes"),
					Optional.of(new TeamName("detailers")), new RequestId("1-a"), true, 250, "text/plain",
					Payload.ofText("panel"), OptionalLong.of(99)),
			new PeerMessage.ForwardRequest(1, new QueueName("open"), Optional.empty(), new RequestId("1-b"), false, 1,
					"", Payload.EMPTY, OptionalLong.empty()),
			new PeerMessage.ForwardAnswer(2, 3, Outcome.UNKNOWN, ErrorCode.UPSTREAM_FAILED, "cut", 0, "",
					Payload.EMPTY),
			new PeerMessage.CancelForward(4), new PeerMessage.KeyWithdrawn(List.of(KeyHash.of("a"))),
			new PeerMessage.KeyWithdrawnAcknowledged(List.of(KeyHash.of("a"), KeyHash.of("b"))),
			new PeerMessage.AskConfiguration(5), new PeerMessage.ConfigurationKnown(
					new ConfigurationSnapshot(6, List.of(), List.of(), List.of(), List.of(), List.of())));

	private final ThriftPeerCodec codec = new ThriftPeerCodec();

	@Test
	void everyMessageIsDecodedAsItWasEncoded() {
		for (PeerMessage message : MESSAGES) {
			PeerEnvelope envelope = envelope(message);
			Truth.assertThat(this.codec.decode(this.codec.encode(envelope))).isEqualTo(envelope);
		}
	}

	@Test
	void aTruncatedFrameIsRejected() {
		byte[] frame = this.codec.encode(envelope(MESSAGES.get(1)));
		for (int length = 0; length < frame.length; length++) {
			byte[] cut = Arrays.copyOf(frame, length);
			Truth.assertThat(isRefused(cut)).isTrue();
		}
	}

	private boolean isRefused(byte[] frame) {
		try {
			this.codec.decode(frame);
			return false;
		}
		catch (CodecException ex) {
			return true;
		}
	}

	private static PeerEnvelope envelope(PeerMessage message) {
		return new PeerEnvelope(new Holder(new HostName("entry-1"), 9), new HybridTimestamp(10, 11), message);
	}

}
