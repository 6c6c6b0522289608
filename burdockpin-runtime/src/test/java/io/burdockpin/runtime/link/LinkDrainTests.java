package io.burdockpin.runtime.link;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;

import com.google.common.truth.Truth;
import org.apache.pekko.Done;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.FishingOutcomes;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against replies that are lost because their sender closes the link right after
 * them, and against a drain that waits although nothing is in flight.
 */
class LinkDrainTests {

	private static final Duration TEST_TIMEOUT = Duration.ofSeconds(60);

	/** Exceeds the socket buffers of both sides, so that the peer has to read. */
	private static final int FRAME_COUNT = 16;

	private static final String MESSAGE = "x".repeat(1024 * 1024);

	private final ActorTestKit kit = ActorTestKit.create();

	private final TestProbe<LinkEvent<String>> owner = this.kit.createTestProbe();

	private ActorRef<LinkListener.Command> listener;

	@AfterEach
	void stop() {
		this.kit.shutdownTestKit();
	}

	@Test
	void anAcceptedLinkIsDrainedWhenItsSlowPeerHasReadEverything() throws IOException {
		try (Socket peer = new Socket()) {
			peer.connect(listen(this.owner));
			sendAndDrain(connected(this.owner));
			assertDisconnectedAfterReading(peer);
		}
	}

	@Test
	void anOutgoingLinkIsDrainedWhenItsSlowPeerHasReadEverything() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			connect((InetSocketAddress) socket.getLocalSocketAddress(), this.owner);
			try (Socket peer = socket.accept()) {
				sendAndDrain(connected(this.owner));
				assertDisconnectedAfterReading(peer);
			}
		}
	}

	/**
	 * A link has no drain timeout, so a drain that completes has not waited for one.
	 */
	@Test
	void aLinkWithNothingInFlightIsDrainedWhenItsPeerCloses() throws IOException {
		TestProbe<LinkEvent<String>> client = this.kit.createTestProbe();
		InetSocketAddress address = listen(this.owner);
		ActorRef<LinkCommand<String>> link = connect(address, client);
		connected(client);
		connected(this.owner).tell(new LinkCommand.Drain<>());
		client.expectMessageClass(LinkEvent.Disconnected.class, TEST_TIMEOUT);
		// The client reconnects.
		this.owner.fishForMessage(TEST_TIMEOUT, (event) -> (event instanceof LinkEvent.Disconnected)
				? FishingOutcomes.complete() : FishingOutcomes.continueAndIgnore());
		connected(client);
		link.tell(new LinkCommand.Drain<>());
		client.expectMessageClass(LinkEvent.Disconnected.class, TEST_TIMEOUT);
	}

	@Test
	void aListenerDrainsAllItsLinks() throws IOException {
		TestProbe<Done> drained = this.kit.createTestProbe();
		try (Socket peer = new Socket()) {
			peer.connect(listen(this.owner));
			ActorRef<LinkCommand<String>> session = connected(this.owner);
			session.tell(new LinkCommand.Send<>(MESSAGE));
			this.listener.tell(new LinkListener.Drain(drained.getRef()));
			DataInputStream input = new DataInputStream(peer.getInputStream());
			Truth.assertThat(input.readNBytes(input.readInt()).length).isEqualTo(MESSAGE.length());
			Truth.assertThat(input.read()).isEqualTo(-1);
			drained.expectNoMessage(Duration.ZERO);
		}
		drained.expectMessageClass(Done.class, TEST_TIMEOUT);
	}

	@Test
	void aLinkThatIsNotConnectedIsDrainedAtOnce() throws IOException {
		connect(TlsLinkTests.freeAddress(), this.owner).tell(new LinkCommand.Drain<>());
		this.owner.expectMessageClass(LinkEvent.Disconnected.class, TEST_TIMEOUT);
	}

	// helpers

	private static void sendAndDrain(ActorRef<LinkCommand<String>> link) {
		for (int count = 0; count < FRAME_COUNT; count++) {
			link.tell(new LinkCommand.Send<>(MESSAGE));
		}
		link.tell(new LinkCommand.Drain<>());
	}

	private void assertDisconnectedAfterReading(Socket peer) throws IOException {
		DataInputStream input = new DataInputStream(peer.getInputStream());
		for (int count = 0; count < FRAME_COUNT; count++) {
			this.owner.expectNoMessage(Duration.ZERO);
			Truth.assertThat(input.readNBytes(input.readInt()).length).isEqualTo(MESSAGE.length());
		}
		Truth.assertThat(input.read()).isEqualTo(-1);
		this.owner.expectNoMessage(Duration.ZERO);
		peer.close();
		this.owner.expectMessageClass(LinkEvent.Disconnected.class, TEST_TIMEOUT);
	}

	@SuppressWarnings("unchecked")
	private static ActorRef<LinkCommand<String>> connected(TestProbe<LinkEvent<String>> probe) {
		return ((LinkEvent.Connected<String>) probe.expectMessageClass(LinkEvent.Connected.class, TEST_TIMEOUT))
			.session();
	}

	private InetSocketAddress listen(TestProbe<LinkEvent<String>> probe) throws IOException {
		InetSocketAddress address = TlsLinkTests.freeAddress();
		this.listener = this.kit.spawn(LinkListener.create("listener", address, new TlsLinkTests.TextCodec(),
				(message) -> "peer", LinkSettings.DEFAULT, probe.getRef()));
		probe.expectMessageClass(LinkEvent.Bound.class, TEST_TIMEOUT);
		return address;
	}

	private ActorRef<LinkCommand<String>> connect(InetSocketAddress address, TestProbe<LinkEvent<String>> probe) {
		return this.kit.spawn(OutboundLink.create("link", "peer", address, new TlsLinkTests.TextCodec(),
				(message) -> "peer", LinkSettings.DEFAULT, probe.getRef()));
	}

}
