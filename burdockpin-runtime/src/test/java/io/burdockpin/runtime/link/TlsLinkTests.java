package io.burdockpin.runtime.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import com.google.common.truth.Truth;
import io.burdockpin.codec.io.FrameCodec;
import io.burdockpin.runtime.tls.ReloadableTlsIdentity;
import io.burdockpin.runtime.tls.TestAuthority;
import io.burdockpin.runtime.tls.TlsSettings;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.FishingOutcomes;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against links that accept a process without a trusted certificate. */
class TlsLinkTests {

	private static final Duration TEST_TIMEOUT = Duration.ofSeconds(20);

	private final ActorTestKit kit = ActorTestKit.create();

	@TempDir
	private Path folder;

	private TestAuthority authority;

	@BeforeEach
	void createAuthority() {
		this.authority = new TestAuthority(this.folder, "authority");
	}

	@AfterEach
	void stop() {
		this.kit.shutdownTestKit();
	}

	@Test
	@SuppressWarnings("unchecked")
	void messagesPassBetweenProcessesThatTrustEachOther() throws Exception {
		TestProbe<LinkEvent<String>> server = probe();
		TestProbe<LinkEvent<String>> client = probe();
		InetSocketAddress address = listen(settings(this.authority.sign("member"), "member"), server);
		ActorRef<LinkCommand<String>> link = connect(settings(this.authority.sign("entry"), "entry"), address, client);
		client.expectMessageClass(LinkEvent.Connected.class, TEST_TIMEOUT);
		link.tell(new LinkCommand.Send<>("entry: hello"));
		LinkEvent.Received<String> received = (LinkEvent.Received<String>) server
			.fishForMessage(TEST_TIMEOUT,
					(event) -> (event instanceof LinkEvent.Received) ? FishingOutcomes.complete()
							: FishingOutcomes.continueAndIgnore())
			.get(0);
		Truth.assertThat(received.message()).isEqualTo("entry: hello");
		// The session ticket arrives before the reply and must not be taken for another
		// connection.
		received.session().tell(new LinkCommand.Send<>("member: hello"));
		client.expectMessageClass(LinkEvent.Received.class, TEST_TIMEOUT);
	}

	/** TLS has its own closing sequence, which must not truncate replies either. */
	@Test
	void repliesSentRightBeforeALinkIsDrainedArrive() throws Exception {
		TestProbe<LinkEvent<String>> server = probe();
		TestProbe<LinkEvent<String>> client = probe();
		InetSocketAddress address = listen(settings(this.authority.sign("member"), "member"), server);
		connect(settings(this.authority.sign("entry"), "entry"), address, client);
		client.expectMessageClass(LinkEvent.Connected.class, TEST_TIMEOUT);
		ActorRef<LinkCommand<String>> session = session(server);
		for (int count = 0; count < 16; count++) {
			session.tell(new LinkCommand.Send<>("member: " + "x".repeat(1024 * 1024)));
		}
		session.tell(new LinkCommand.Drain<>());
		for (int count = 0; count < 16; count++) {
			client.expectMessageClass(LinkEvent.Received.class, TEST_TIMEOUT);
		}
		client.expectMessageClass(LinkEvent.Disconnected.class, TEST_TIMEOUT);
		server.expectMessageClass(LinkEvent.Disconnected.class, TEST_TIMEOUT);
	}

	@SuppressWarnings("unchecked")
	private static ActorRef<LinkCommand<String>> session(TestProbe<LinkEvent<String>> server) {
		return ((LinkEvent.Connected<String>) server.expectMessageClass(LinkEvent.Connected.class, TEST_TIMEOUT))
			.session();
	}

	@Test
	void aProcessThatNeitherTrustsNorIsTrustedGetsNoLink() throws Exception {
		assertNoLink(settings(new TestAuthority(this.folder, "other").sign("entry"), "entry"));
	}

	@Test
	void aProcessThatTrustsTheListenerButIsNotTrustedByItCannotSend() throws Exception {
		TlsSettings untrusted = new TestAuthority(this.folder, "other").sign("entry");
		String both = Files
			.writeString(this.folder.resolve("both.pem"),
					Files.readString(Path.of(untrusted.trustFile()))
							+ Files.readString(Path.of(this.authority.trustFile())))
			.toString();
		assertNoLink(settings(new TlsSettings(untrusted.certificateFile(), untrusted.keyFile(), both, null), "entry"));
	}

	@Test
	void aListenerWhoseCertificateNamesAnotherHostIsNotTrusted() throws Exception {
		TestProbe<LinkEvent<String>> server = probe();
		TestProbe<LinkEvent<String>> client = probe();
		InetSocketAddress address = listen(settings(this.authority.sign("other"), "other"), server);
		ActorRef<LinkCommand<String>> link = connect(settings(this.authority.sign("entry"), "entry"), address, client);
		link.tell(new LinkCommand.Send<>("entry: hello"));
		server.fishForMessage(TEST_TIMEOUT, (event) -> {
			Truth.assertThat(event).isNotInstanceOf(LinkEvent.Received.class);
			return (event instanceof LinkEvent.Disconnected) ? FishingOutcomes.complete()
					: FishingOutcomes.continueAndIgnore();
		});
		client.expectNoMessage(Duration.ZERO);
	}

	@Test
	void aHostCannotSendAsAnotherHost() throws Exception {
		TestProbe<LinkEvent<String>> server = probe();
		TestProbe<LinkEvent<String>> client = probe();
		InetSocketAddress address = listen(settings(this.authority.sign("member"), "member"), server);
		ActorRef<LinkCommand<String>> link = connect(settings(this.authority.sign("entry"), "entry"), address, client);
		client.expectMessageClass(LinkEvent.Connected.class, TEST_TIMEOUT);
		link.tell(new LinkCommand.Send<>("member: hello"));
		server.expectMessageClass(LinkEvent.Connected.class, TEST_TIMEOUT);
		server.expectMessageClass(LinkEvent.Disconnected.class, TEST_TIMEOUT);
	}

	// The first event of the listener must be Disconnected.
	private void assertNoLink(LinkSettings untrusted) throws Exception {
		TestProbe<LinkEvent<String>> server = probe();
		TestProbe<LinkEvent<String>> client = probe();
		InetSocketAddress address = listen(settings(this.authority.sign("member"), "member"), server);
		ActorRef<LinkCommand<String>> link = connect(untrusted, address, client);
		link.tell(new LinkCommand.Send<>("entry: hello"));
		server.expectMessageClass(LinkEvent.Disconnected.class, TEST_TIMEOUT);
	}

	private TestProbe<LinkEvent<String>> probe() {
		return this.kit.createTestProbe();
	}

	private InetSocketAddress listen(LinkSettings settings, TestProbe<LinkEvent<String>> owner) throws IOException {
		InetSocketAddress address = freeAddress();
		this.kit.spawn(LinkListener.create("listener", address, new TextCodec(), TlsLinkTests::sender, settings,
				owner.getRef()));
		owner.expectMessageClass(LinkEvent.Bound.class, TEST_TIMEOUT);
		return address;
	}

	private ActorRef<LinkCommand<String>> connect(LinkSettings settings, InetSocketAddress address,
			TestProbe<LinkEvent<String>> owner) {
		return this.kit.spawn(OutboundLink.create("link", "member", address, new TextCodec(), TlsLinkTests::sender,
				settings, owner.getRef()));
	}

	private static LinkSettings settings(TlsSettings tls, String host) {
		return LinkSettings.DEFAULT.withTransport(new TlsLinkTransport(new ReloadableTlsIdentity(tls, host)));
	}

	private static String sender(String message) {
		return message.split(":")[0];
	}

	static InetSocketAddress freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
		}
	}

	/** Encodes strings as UTF-8. */
	static final class TextCodec implements FrameCodec<String> {

		@Override
		public byte[] encode(String message) {
			return message.getBytes(StandardCharsets.UTF_8);
		}

		@Override
		public String decode(byte[] frame) {
			return new String(frame, StandardCharsets.UTF_8);
		}

	}

}
