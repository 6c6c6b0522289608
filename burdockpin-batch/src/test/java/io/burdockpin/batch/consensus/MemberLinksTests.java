package io.burdockpin.batch.consensus;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import io.burdockpin.codec.thrift.impl.ThriftConsensusCodec;
import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.ConsensusMessage;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.ReplicaSettings;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.model.HostName;
import io.burdockpin.runtime.link.LinkSettings;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * The links of one member on a loopback address. Plain sockets on another address take
 * the place of the other member, a probe that of the replica.
 */
class MemberLinksTests {

	private static final String SELF = "127.0.41.1";

	private static final String OTHER = "127.0.41.2";

	private static final Duration RECEIVE_LIMIT = Duration.ofSeconds(30);

	/** Term of the messages that only show whether the link is open. */
	private static final long PROBE_TERM = 1;

	private final ActorTestKit testKit = ActorTestKit.create();

	/** Atomic, because the actors read the clock in threads of their own. */
	private final AtomicLong nowMillis = new AtomicLong(1_000_000);

	private final TestProbe<ConsensusCommand> replica = this.testKit.createTestProbe();

	private final ThriftConsensusCodec codec = new ThriftConsensusCodec();

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	/**
	 * Followers exchange nothing until the leader is lost. Guards against a first vote
	 * request whose answer is lost, so that the group waits for another election timeout.
	 */
	@Test
	void theAnswerToTheFirstMessageOfAMemberGoesOutOnTheLinkThatIsOpen() throws IOException {
		try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getByName(OTHER))) {
			ActorRef<MemberLinks.Command> links = startLinks(listener.getLocalPort());
			try (Socket outgoing = listener.accept(); Socket incoming = connect(listener.getLocalPort())) {
				this.nowMillis.addAndGet(60_000);
				awaitOpenLink(links, outgoing);
				send(incoming, envelope(OTHER, SELF, 7));
				this.replica.expectMessageClass(ConsensusCommand.FromMember.class, RECEIVE_LIMIT);
				links.tell(new MemberLinks.Send(envelope(SELF, OTHER, 8)));
				Truth.assertThat(receive(outgoing).message().term()).isEqualTo(8);
			}
		}
	}

	private ActorRef<MemberLinks.Command> startLinks(int port) {
		ConsensusSettings settings = new ConsensusSettings("test", SELF, "dc1", port, List.of(SELF, OTHER), 3,
				new ReplicaSettings(100, 500, 1_000, 12, 10_000, 3, 300, 16, 1_500), LinkSettings.DEFAULT);
		ActorRef<MemberLinks.Command> links = this.testKit.spawn(MemberLinks.create(settings, id(SELF),
				this.replica.getRef(), this.testKit.<MemberLinks.Failed>createTestProbe().getRef(),
				() -> Instant.ofEpochMilli(this.nowMillis.get())));
		this.replica.expectMessageClass(ConsensusCommand.AttachLinks.class);
		return links;
	}

	// Messages are dropped until the link knows that its connection was accepted.
	private void awaitOpenLink(ActorRef<MemberLinks.Command> links, Socket outgoing) {
		this.replica.awaitAssert(RECEIVE_LIMIT, () -> {
			links.tell(new MemberLinks.Send(envelope(SELF, OTHER, PROBE_TERM)));
			Truth.assertThat(outgoing.getInputStream().available()).isGreaterThan(0);
			return null;
		});
	}

	// The link may connect before the listener of the same member is bound.
	private Socket connect(int port) {
		return this.replica.awaitAssert(RECEIVE_LIMIT, () -> new Socket(InetAddress.getByName(SELF), port));
	}

	private void send(Socket connection, ConsensusEnvelope envelope) throws IOException {
		byte[] frame = this.codec.encode(envelope);
		DataOutputStream output = new DataOutputStream(connection.getOutputStream());
		output.writeInt(frame.length);
		output.write(frame);
		output.flush();
	}

	private ConsensusEnvelope receive(Socket connection) throws IOException {
		connection.setSoTimeout((int) RECEIVE_LIMIT.toMillis());
		DataInputStream input = new DataInputStream(connection.getInputStream());
		ConsensusEnvelope received = this.codec.decode(input.readNBytes(input.readInt()));
		while (received.message().term() == PROBE_TERM) {
			received = this.codec.decode(input.readNBytes(input.readInt()));
		}
		return received;
	}

	private static ConsensusEnvelope envelope(String sender, String receiver, long term) {
		return new ConsensusEnvelope("test", id(sender), id(receiver), 0, HybridTimestamp.ZERO,
				new ConsensusMessage.TimeoutNow(term));
	}

	private static MemberId id(String host) {
		return new MemberId(new HostName(host), 1);
	}

}
