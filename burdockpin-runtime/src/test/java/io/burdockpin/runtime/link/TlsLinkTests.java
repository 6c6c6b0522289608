package io.burdockpin.runtime.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import io.burdockpin.codec.io.FrameCodec;
import io.burdockpin.runtime.settings.SettingsException;
import io.burdockpin.runtime.tls.TlsContexts;
import io.burdockpin.runtime.tls.TlsSettings;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.FishingOutcomes;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against links that a process without a trusted certificate can use. */
class TlsLinkTests {

	private static final Duration BOUND = Duration.ofSeconds(20);

	private final ActorTestKit kit = ActorTestKit.create();

	@TempDir
	private Path folder;

	@AfterEach
	void stop() {
		this.kit.shutdownTestKit();
	}

	@Test
	@SuppressWarnings("unchecked")
	void messagesPassBetweenProcessesThatTrustEachOther() throws Exception {
		LinkSettings settings = settings(createStore("member", "127.0.0.1"));
		TestProbe<LinkEvent<String>> server = probe();
		TestProbe<LinkEvent<String>> client = probe();
		InetSocketAddress address = listen(settings, server);
		ActorRef<LinkCommand<String>> link = connect(settings, address, client);
		client.expectMessageClass(LinkEvent.Connected.class, BOUND);
		link.tell(new LinkCommand.Send<>("hello"));
		LinkEvent.Received<String> received = (LinkEvent.Received<String>) server
			.fishForMessage(BOUND,
					(event) -> (event instanceof LinkEvent.Received) ? FishingOutcomes.complete()
							: FishingOutcomes.continueAndIgnore())
			.get(0);
		Truth.assertThat(received.message()).isEqualTo("hello");
	}

	@Test
	void aProcessWithAnUntrustedCertificateCannotSend() throws Exception {
		TestProbe<LinkEvent<String>> server = probe();
		TestProbe<LinkEvent<String>> client = probe();
		InetSocketAddress address = listen(settings(createStore("member", "127.0.0.1")), server);
		ActorRef<LinkCommand<String>> link = connect(settings(createStore("stranger", "127.0.0.1")), address, client);
		assertLost(client);
		link.tell(new LinkCommand.Send<>("hello"));
		assertNothingReceived(server);
	}

	@Test
	void aProcessThatTrustsTheListenerButIsNotTrustedByItCannotSend() throws Exception {
		TlsSettings member = createStore("member", "127.0.0.1");
		TlsSettings stranger = createStore("stranger", "127.0.0.1");
		TestProbe<LinkEvent<String>> server = probe();
		TestProbe<LinkEvent<String>> client = probe();
		InetSocketAddress address = listen(settings(member), server);
		ActorRef<LinkCommand<String>> link = connect(settings(new TlsSettings(stranger.keyStoreFile(),
				stranger.keyStorePasswordFile(), member.trustStoreFile(), member.trustStorePasswordFile())), address,
				client);
		link.tell(new LinkCommand.Send<>("hello"));
		assertLost(client);
		assertNothingReceived(server);
	}

	@Test
	void aListenerWhoseCertificateNamesAnotherAddressIsNotTrusted() throws Exception {
		LinkSettings settings = settings(createStore("member", "127.0.0.9"));
		TestProbe<LinkEvent<String>> server = probe();
		TestProbe<LinkEvent<String>> client = probe();
		connect(settings, listen(settings, server), client);
		assertLost(client);
		assertNothingReceived(server);
	}

	@Test
	void aWrongPasswordIsASettingsErrorThatDoesNotRepeatIt() throws Exception {
		TlsSettings good = createStore("member", "127.0.0.1");
		Path wrong = Files.writeString(this.folder.resolve("wrong"), "hunter2hunter2");
		TlsSettings bad = new TlsSettings(good.keyStoreFile(), wrong.toString(), good.trustStoreFile(),
				good.trustStorePasswordFile());
		String message = messageOf(bad);
		Truth.assertThat(message).contains(good.keyStoreFile());
		Truth.assertThat(message).doesNotContain("hunter2");
	}

	private static String messageOf(TlsSettings settings) {
		try {
			TlsContexts.load(settings);
			return "loaded";
		}
		catch (SettingsException ex) {
			return ex.getMessage();
		}
	}

	private static void assertLost(TestProbe<LinkEvent<String>> client) {
		client.fishForMessage(BOUND, (event) -> (event instanceof LinkEvent.Disconnected) ? FishingOutcomes.complete()
				: FishingOutcomes.continueAndIgnore());
	}

	private static void assertNothingReceived(TestProbe<LinkEvent<String>> server) {
		server.fishForMessage(BOUND, (event) -> {
			Truth.assertThat(event).isNotInstanceOf(LinkEvent.Received.class);
			return (event instanceof LinkEvent.Disconnected) ? FishingOutcomes.complete()
					: FishingOutcomes.continueAndIgnore();
		});
	}

	private TestProbe<LinkEvent<String>> probe() {
		return this.kit.createTestProbe();
	}

	private InetSocketAddress listen(LinkSettings settings, TestProbe<LinkEvent<String>> owner) throws IOException {
		InetSocketAddress address = freeAddress();
		this.kit.spawn(LinkListener.create("listener", address, new TextCodec(), settings, owner.getRef()));
		owner.expectMessageClass(LinkEvent.Bound.class, BOUND);
		return address;
	}

	private ActorRef<LinkCommand<String>> connect(LinkSettings settings, InetSocketAddress address,
			TestProbe<LinkEvent<String>> owner) {
		return this.kit.spawn(OutboundLink.create("link", address, new TextCodec(), settings, owner.getRef()));
	}

	private static LinkSettings settings(TlsSettings tls) {
		return LinkSettings.DEFAULT.withTransport(new TlsLinkTransport(TlsContexts.load(tls)));
	}

	private static InetSocketAddress freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
		}
	}

	/** A self-signed certificate that trusts only itself. */
	private TlsSettings createStore(String name, String ip) throws Exception {
		Path store = this.folder.resolve(name + ".p12");
		Path password = Files.writeString(this.folder.resolve(name + ".password"), "secret-of-" + name + "\n");
		Process keytool = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "keytool").toString(),
				"-genkeypair", "-keystore", store.toString(), "-storetype", "PKCS12", "-storepass", "secret-of-" + name,
				"-alias", name, "-keyalg", "EC", "-dname", "CN=" + name, "-ext", "san=ip:" + ip)
			.redirectErrorStream(true)
			.start();
		String output = new String(keytool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		Truth.assertWithMessage(output).that(keytool.waitFor(60, TimeUnit.SECONDS)).isTrue();
		return new TlsSettings(store.toString(), password.toString(), store.toString(), password.toString());
	}

	/** Texts in UTF-8. */
	private static final class TextCodec implements FrameCodec<String> {

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
